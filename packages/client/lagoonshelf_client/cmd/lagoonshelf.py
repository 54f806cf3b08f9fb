"""The ``lagoonshelf`` command for operators and clients."""

import sys

from fire import Fire

from lagoonshelf_client.commands import Commands
from lagoonshelf_client.reporting import Reporter


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return the exit code.

    :param arguments: command-line arguments, those of the process by default
    """
    args = list(sys.argv[1:] if arguments is None else arguments)
    as_json = "--json" in args
    args = [arg for arg in args if arg != "--json"]
    reporter = Reporter(as_json)
    urls = _pop_urls(args)
    Fire(Commands(reporter, urls), command=args, name="lagoonshelf")
    return reporter.exit_code


def _pop_urls(args: list[str]) -> str | None:
    """Remove ``--urls=...``, which may come before or after the command, and return its value."""
    for arg in args:
        if arg.startswith("--urls="):
            args.remove(arg)
            return arg.removeprefix("--urls=")
    return None


if __name__ == "__main__":
    sys.exit(main())
