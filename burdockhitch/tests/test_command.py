from pathlib import Path

import pytest

from burdockhitch.__main__ import main
from burdockhitch.errors import (
    LargeDeletionError,
    MergeConflictError,
    PlatformUnavailableError,
    RulesFileError,
    UnknownNameError,
)
from burdockhitch.exits import (
    EXIT_FAILED,
    EXIT_INVALID_INPUT,
    EXIT_OK,
    EXIT_UNAVAILABLE,
    exit_code_for,
)

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
VALID_RULES = "service s floor=0slots # K\n"


@pytest.mark.parametrize(
    ("body", "code", "text"),
    [
        (VALID_RULES, EXIT_OK, "1 rules are usable"),
        ("# revision 3 abc\n" + VALID_RULES, EXIT_OK, "1 rules are usable"),
        ("servce s floor=0slots # K\n", EXIT_INVALID_INPUT, "did you mean 'service'"),
        ("service s floor=0slots\n", EXIT_INVALID_INPUT, "who asked for the rule"),
        (
            VALID_RULES + "route s GET /a # K\n" * 2,
            EXIT_INVALID_INPUT,
            "line 2 (K) has it",
        ),
        ("service s floor=9slots # K\n", EXIT_INVALID_INPUT, "at most the 0 slots"),
        ("service s floor=9 # K\n", EXIT_INVALID_INPUT, "slots, as in 8slots"),
        ("", EXIT_INVALID_INPUT, "empty file"),
        (b"\x89PNG\r\n", EXIT_INVALID_INPUT, "UTF-8 text"),
    ],
)
def test_rules_check_reports_what_is_wrong(tmp_path, capsys, body, code, text):
    path = tmp_path / "rules"
    path.write_bytes(body if isinstance(body, bytes) else body.encode())
    assert main(["rules", "check", str(path)]) == code
    captured = capsys.readouterr()
    assert text in captured.out + captured.err


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["version"], EXIT_OK),
        (["rules", "check", "missing-file"], EXIT_FAILED),
        (["check-settings", str(EXAMPLES / "vastkust.ini")], EXIT_OK),
        (["check-settings", "missing-file"], EXIT_INVALID_INPUT),
        (["no-such-command"], EXIT_INVALID_INPUT),
    ],
)
def test_command_exits_with_code(arguments, code):
    assert main(arguments) == code


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (RulesFileError(()), EXIT_INVALID_INPUT),
        (MergeConflictError("", "", "", ""), 3),
        (LargeDeletionError(4, 3), 3),
        (PlatformUnavailableError(), EXIT_UNAVAILABLE),
        (UnknownNameError("r", "n", ()), EXIT_FAILED),
    ],
)
def test_error_maps_to_exit_code(error, code):
    assert exit_code_for(error) == code
