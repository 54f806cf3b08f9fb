"""Steps with tasks that can start."""

from collections.abc import Iterable, Iterator
from itertools import chain, islice

from lagoonshelf_core.jobs.progress import Job, StepRun
from lagoonshelf_core.jobs.spec import MAX_TASKS_PER_JOB, JobId, StepIndex, StepSpec

# Open occurrences of a step that one scheduling pass looks at, those that opened first. They are
# alike, so that the others could start nothing that these cannot.
MAX_RANKED_OCCURRENCES = 100
# Open occurrences of a step from which on no further ones are created.
MAX_OPEN_OCCURRENCES = 2 * MAX_RANKED_OCCURRENCES


class OpenSteps:
    """Steps with tasks that can start, the occurrences of each step in the order of opening."""

    def __init__(self) -> None:
        """Create without steps."""
        self._occurrences: dict[tuple[JobId, StepIndex], dict[StepRun, None]] = {}

    def __len__(self) -> int:
        """Return the number of steps, each occurrence counted."""
        return sum(map(len, self._occurrences.values()))

    def __iter__(self) -> Iterator[StepRun]:
        """Iterate over all steps."""
        return chain.from_iterable(self._occurrences.values())

    def add(self, step: StepRun) -> None:
        """Add a step, if it is not in the set."""
        self._occurrences.setdefault((step.job.id, step.index), {})[step] = None

    def discard(self, step: StepRun) -> None:
        """Remove a step, if it is in the set."""
        key = (step.job.id, step.index)
        occurrences = self._occurrences.get(key)
        if occurrences is not None:
            occurrences.pop(step, None)
            if not occurrences:
                del self._occurrences[key]

    def discard_all(self, steps: Iterable[StepRun]) -> None:
        """Remove steps."""
        for step in steps:
            self.discard(step)

    def first(self) -> Iterator[StepRun]:
        """Iterate over the steps that a scheduling pass looks at."""
        for occurrences in self._occurrences.values():
            yield from islice(occurrences, MAX_RANKED_OCCURRENCES)

    def has_enough(self, job: Job) -> bool:
        """Return whether each step of a job that follows no other has many open occurrences."""
        return all(
            len(self._occurrences.get((job.id, StepIndex(index)), ())) >= _max_open(spec)
            for index, spec in enumerate(job.spec.steps)
            if not spec.after
        )


def _max_open(spec: StepSpec) -> int:
    """Return the open occurrences of a step from which on no further ones are created."""
    return max(1, min(MAX_OPEN_OCCURRENCES, MAX_TASKS_PER_JOB // spec.count))
