"""The command for operators and callers."""

import sys

from fire import Fire

from lagoonshelf_client.commands import Commands
from lagoonshelf_client.reporting import Reporter


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return the exit code.

    :param arguments: words after the command's name, those of the process by default
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    as_json = "--json" in words
    words = [word for word in words if word != "--json"]
    reporter = Reporter(as_json)
    urls = _take_urls(words)
    Fire(Commands(reporter, urls), command=words, name="lagoonshelf")
    return reporter.exit_code


def _take_urls(words: list[str]) -> str | None:
    """Remove ``--urls=...`` so that it may stand before or after the command."""
    for word in words:
        if word.startswith("--urls="):
            words.remove(word)
            return word.removeprefix("--urls=")
    return None


if __name__ == "__main__":
    sys.exit(main())
