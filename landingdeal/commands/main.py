"""The command group. The module of a command is imported only when the command is used."""

from __future__ import annotations

import importlib
import sys
from typing import Any

import click

from landingdeal.errors import ConfigError

EXIT_PROBLEMS, EXIT_CANNOT_RUN = 1, 2
LAZY_COMMANDS = {  # name: module, attribute, help text
    "serve": ("landingdeal.commands.serve", "serve", "Start the program, as without a command."),
    "demo": ("landingdeal.commands.demo", "demo", "Run the program with simulated hubs and callers."),
    "config": ("landingdeal.commands.config", "config", "Check configuration files."),
    "capture": ("landingdeal.commands.capture_files", "capture", "Inspect, check, replay and edit captures."),
}


class LazyGroup(click.Group):
    """A command group that imports its commands on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(LAZY_COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in LAZY_COMMANDS:
            return None
        module, attribute, _ = LAZY_COMMANDS[name]
        command = getattr(importlib.import_module(module), attribute)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, LAZY_COMMANDS[name][2]) for name in self.list_commands(ctx)])


@click.group(
    cls=LazyGroup, invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.option("--operator", envvar="LANDINGDEAL_OPERATOR", default="", help="The operator's file (TOML).")
@click.pass_context
def group(ctx: click.Context, operator: str) -> None:
    """A border controller between callers and lab hubs. Without a command it runs `serve`."""
    if ctx.invoked_subcommand is None:
        from landingdeal.__main__ import serve

        ctx.exit(serve(operator))


def run(arguments: list[str]) -> int:
    """Runs a command line and returns the exit code. An error is one line on standard error."""
    try:
        result: Any = group.main(args=arguments, prog_name="landingdeal", standalone_mode=False)
        return int(result or 0)
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.ClickException as error:
        ctx = error.ctx if isinstance(error, click.UsageError) else None
        hint = f" (see {ctx.command_path} --help)" if ctx is not None else ""
        print(f"landingdeal: {error.format_message()}{hint}", file=sys.stderr)
        return EXIT_CANNOT_RUN
    except click.Abort:
        print("landingdeal: interrupted", file=sys.stderr)
        return EXIT_CANNOT_RUN
    except BrokenPipeError:  # the reader of our output closed the pipe
        sys.stdout = None
        return 0
    except (ConfigError, OSError, UnicodeDecodeError) as error:
        print(f"landingdeal: {error}", file=sys.stderr)
        return EXIT_CANNOT_RUN
    except ModuleNotFoundError as error:
        print(f"landingdeal: missing package {error.name}: pip install 'landingdeal[tools]'", file=sys.stderr)
        return EXIT_CANNOT_RUN
