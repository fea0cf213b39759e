"""Side programs: stand-ins, replay, load and benchmarks."""
