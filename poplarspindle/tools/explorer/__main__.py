"""Runs the explorer as a module."""

from poplarspindle.tools.explorer import explore

if __name__ == "__main__":
    explore.main()
