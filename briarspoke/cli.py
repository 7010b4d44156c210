"""The command line interface."""

from __future__ import annotations

import sys

from briarspoke import __version__

EXIT_USER_ERROR = 2
EXIT_INTERRUPTED = 130
HELP_FLAGS = ("--help", "-h")


def build_app(*, lazily=True):
    """Returns the cyclopts application with every command.

    :param lazily: False imports every command, so that the list of commands shows
        their help.
    """
    from cyclopts import App

    from briarspoke import commands

    app = App(
        name="briarspoke",
        help="A router for backend servers that own keys exclusively.",
        help_epilogue="Exit status: 0 success, 1 refused or differs, 2 user error, "
        "3 unavailable or outcome unknown.",
        version=__version__,
        result_action="return_value",
        exit_on_error=False,
        print_error=False,
    )
    commands.register_all(app, lazily=lazily)
    return app


def execute(arguments):
    """Runs one command line and returns its exit status."""
    if arguments == ["version"]:
        # Avoids the import of cyclopts, which takes most of the command's time.
        print(__version__)
        return 0
    from cyclopts import CycloptsError

    from briarspoke.client import CallError
    from briarspoke.errors import UserError
    from briarspoke.output import print_json

    try:
        lists_commands = not arguments or arguments[0] in HELP_FLAGS
        return build_app(lazily=not lists_commands)(arguments) or 0
    except CycloptsError as error:
        message = str(error).strip() or "invalid command line"
        print(f"briarspoke: {message}", file=sys.stderr)
        print("briarspoke: see briarspoke --help", file=sys.stderr)
        return EXIT_USER_ERROR
    except UserError as error:
        print(f"briarspoke: {error}", file=sys.stderr)
        return EXIT_USER_ERROR
    except CallError as error:
        if error.output == "json":
            print_json(error.answer)
        print(f"briarspoke: {error}", file=sys.stderr)
        return error.exit_status
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The reader of the output, such as head, has closed the pipe.
        sys.stderr.close()
        return 0


def main():
    """Runs the command line and exits."""
    sys.exit(execute(sys.argv[1:]))
