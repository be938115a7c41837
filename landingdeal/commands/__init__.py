"""The command line: `landingdeal COMMAND`. Exit codes: 0 well, 1 problems were found, 2 it can't run."""
