"""Entry point: `python -m landingdeal`. Modules are imported only where they are used."""

from __future__ import annotations

import os
import sys

from landingdeal.errors import ConfigError
from landingdeal.service.signals import Signals


def serve(operator_path: str) -> int:
    """Runs the border controller and returns the exit code, 2 if the configuration is unusable."""
    signals, config_path = Signals(), os.environ.get("ROUTER_CONFIG", "")
    try:
        if config_path:
            from landingdeal.service import on_platform

            on_platform.serve(config_path, operator_path, signals)
        else:
            from landingdeal.service import with_sip

            with_sip.serve(operator_path, signals)
    except (ConfigError, OSError, UnicodeDecodeError) as error:
        print(f"landingdeal: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Runs the border controller without arguments, else the command line."""
    if len(sys.argv) == 1:
        return serve(os.environ.get("LANDINGDEAL_OPERATOR", ""))
    from landingdeal.commands.main import run

    return run(sys.argv[1:])


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    # skips the interpreter's shutdown, which daemon threads that still read and write would run into
    os._exit(code)
