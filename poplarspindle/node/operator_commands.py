"""What operators wish, as a node takes it in."""

import dataclasses

from poplarspindle.fleet import work


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The configuration changed."""

    configuration: work.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreEvacuation:
    """A data centre is to get no more work, or is taken back."""

    data_centre: str
    is_evacuated: bool


OperatorCommand = ConfigurationChange | DataCentreEvacuation
