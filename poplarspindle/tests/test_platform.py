"""Contracts of the log and the instance list, run on the stand-ins."""

import msgpack
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from poplarspindle import http_server, outcomes, reports
from poplarspindle.clients import logservice, members, transport
from poplarspindle.tools.fakes import log
from poplarspindle.tools.fakes import members as fake_members

scenarios("features/log.feature", "features/list.feature")


class Site:
    """The stand-ins behind a socket, and clients to them."""

    def __init__(self):
        self.log = log.FakeLog()
        self.list = fake_members.FakeList()
        self.strange = False
        self.server = http_server.Server("127.0.0.1:0", self.handle, 4)
        url = f"http://{self.server.start()}"
        calls = transport.Transport(2.0)
        self.service = logservice.LogService(url, calls)
        self.instances = members.InstanceList(url, calls)
        self.answers = []

    def handle(self, request):
        """Serves both stand-ins."""
        if request.path in ("/append", "/read"):
            return self.log.handle(request)
        answer = self.list.handle(request)
        if self.strange and request.path == "/members":
            body = msgpack.unpackb(answer.body)
            body["members"] = [{"kind": "printer"}, 7, *body["members"]]
            return http_server.Response(200, msgpack.packb(body))
        return answer

    def read(self, position=0, wait_ms=0):
        """Reads the stream."""
        return self.service.read({"s": position}, 10, wait_ms)


@pytest.fixture
def site():
    made = Site()
    yield made
    made.server.stop()


@given("the log loses the next answer")
def lose_answer(site):
    site.log.lose_acks = 1


@given("the log garbles the next answer")
def garble_answer(site):
    site.log.garble = 1


@given("the log is down")
def turn_log_down(site):
    site.log.down = True


@given(parsers.parse("the log takes {most:d} bytes at most"))
def bound_log(site, most):
    site.log.most_bytes = most


@when("a record is appended")
def append_one(site):
    site.answers.append(site.service.append("s", b"record number 0"))


@when("three records are appended")
def append_three(site):
    for index in range(3):
        site.answers.append(site.service.append("s", b"r%d" % index))


@when("the first two pass retention")
def pass_retention(site):
    site.log.trim("s", 2)


@then("two readers read them at offsets 0, 1 and 2 in that order")
def check_order(site):
    assert site.answers == [outcomes.Ok(i) for i in range(3)]
    wanted = tuple((i, b"r%d" % i) for i in range(3))
    for _ in range(2):
        assert site.read().value == (logservice.Page("s", 0, 3, wanted),)


@then("a read from 0 starts at 2 and names 3 as next")
def check_page(site):
    assert site.read().value == (logservice.Page("s", 2, 3, ((2, b"r2"),)),)


@then(parsers.re("the append failed(?P<acted> and may have acted)?$"))
def check_failed(site, acted):
    assert isinstance(site.answers[0], outcomes.Failed)
    assert site.answers[0].may_have_acted or not acted


@then("the append failed and did not act")
def check_not_acted(site):
    assert isinstance(site.answers[0], outcomes.Failed)
    assert not site.answers[0].may_have_acted


@then("a read fails")
def check_read_fails(site):
    assert isinstance(site.read(), outcomes.Failed)


@then(parsers.re(r"a read finds (?P<count>\d+) records?"))
def check_count(site, count):
    assert len(site.read().value[0].records) == int(count)


@then(parsers.parse("a read that waits {wait_ms:d} ms finds 0 records"))
def check_wait(site, wait_ms):
    assert site.read(0, wait_ms).value[0].records == ()


def make_member(presence=reports.Presence.LIVE):
    return reports.Member(
        "s1", reports.Role.SCHEDULER, "ourthe", address="a", presence=presence
    )


@when("scheduler s1 announces itself")
def announce(site):
    assert isinstance(site.instances.announce(make_member()), outcomes.Ok)


@when("s1 announces that it leaves")
def announce_leaving(site):
    site.instances.announce(make_member(reports.Presence.LEAVING))


@when("the list holds an entry of an unknown form")
def add_strange(site):
    site.strange = True


@when("the list is down")
def turn_list_down(site):
    site.list.down = True


@then(parsers.parse("the list shows s1 as {presence}"))
def check_presence(site, presence):
    member = make_member(reports.Presence(presence))
    assert site.instances.fetch() == outcomes.Ok((member,))


@then("a second reading finds the same though nothing is sent again")
def check_unchanged(site):
    first = site.instances.fetch()
    assert site.instances.fetch() == first
    assert first.value == (make_member(),)


@then("reading the list fails")
def check_list_fails(site):
    assert isinstance(site.instances.fetch(), outcomes.Failed)
