"""Forwards TCP connections to one address, standard library only.

    python3 proxy.py '{"port": 0, "to": "127.0.0.1:1234"}'

The first line on standard output is its address. At SIGUSR1 all connections
that are open turn silent for good: nothing is forwarded any more, and nothing
is closed. Connections made later work.
"""

import asyncio
import json
import signal
import sys

LIMIT = 1 << 16


class Proxy:
    def __init__(self, host, port):
        self.target = host, port
        self.entries = {}
        self.silent = []  # Kept, so that nothing is closed.

    async def accept(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = writer, other_writer
        tasks = [
            asyncio.create_task(self._copy(reader, other_writer)),
            asyncio.create_task(self._copy(other_reader, writer)),
        ]
        entry = pair, tasks
        self.entries[id(entry)] = entry
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if self.entries.pop(id(entry), None) is None:
            return  # It turned silent.
        for task in tasks:
            task.cancel()
        for end in pair:
            end.transport.abort() if end.is_closing() else end.close()

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(LIMIT):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def hush(self):
        for entry in self.entries.values():
            for task in entry[1]:
                task.cancel()
            for end in entry[0]:
                end.transport.pause_reading()
            self.silent.append(entry)
        self.entries.clear()


async def main():
    options = json.loads(sys.argv[1])
    host, _, port = options["to"].rpartition(":")
    proxy = Proxy(host, int(port))
    server = await asyncio.start_server(
        proxy.accept, "127.0.0.1", options.get("port", 0)
    )
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, proxy.hush)
    print("127.0.0.1:%d" % server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


asyncio.run(main())
