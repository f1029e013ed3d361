"""Golden files in `tests/golden`."""

import pathlib

import approvaltests
from approvaltests import reporters
from approvaltests.namer import templated_custom_namer

GOLDEN_DIRECTORY = pathlib.Path(__file__).parent / "golden"


def verify(name, text, *scrubs):
    """Compares the scrubbed `text` with `golden/NAME.approved.txt`."""
    namer = templated_custom_namer.TemplatedCustomNamer(
        f"{GOLDEN_DIRECTORY}/{name}.{{approved_or_received}}.{{file_extension}}"
    )
    options = approvaltests.Options().with_namer(namer)
    options = options.with_reporter(reporters.PythonNativeReporter())
    options = options.with_scrubber(
        approvaltests.scrubbers.combine_scrubbers(*scrubs)
    )
    approvaltests.verify(text, options=options)
