"""Jobs of steps on a fleet of workers: state and decisions, no I/O."""
