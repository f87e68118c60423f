"""Result of a bench: one measured value with its conditions."""

import dataclasses
import json


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figure:
    """A measured value with the data needed to assess it.

    Attributes:
        name: name of the figure, starting with the name of the bench.
        value: measured value over all samples.
        unit: unit of the value.
        seed: seed of the run.
        samples: number of samples from which the value is computed.
        baseline: value of the alternative measured in the same run, if there is one.
        low: lowest value of a single repetition.
        high: highest value of a single repetition.
        repetitions: number of repetitions.
        labels: conditions, such as the number of hops or the load average of the machine.
    """

    name: str
    value: float
    unit: str
    seed: int
    samples: int
    baseline: float | None = None
    low: float | None = None
    high: float | None = None
    repetitions: int | None = None
    labels: tuple[tuple[str, int | float | str], ...] = ()

    def encode(self) -> str:
        """Returns the figure as a line of JSON; absent fields are left out."""
        fields = {
            name: round(value, 4) if isinstance(value, float) else value
            for name, value in dataclasses.asdict(self).items()
            if value is not None and name != "labels"
        }
        return json.dumps({**fields, **dict(self.labels)})
