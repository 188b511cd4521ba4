"""The exception tree: every failure of the system has a type here."""

from typing import Any


class BurdockhitchError(Exception):
    """Base of all failures raised by this package."""


class UnacceptableTextError(BurdockhitchError):
    """A text can't be converted; the argument says what was expected."""


class SettingsError(BurdockhitchError):
    """A settings file is unusable.

    Args:
        path: File that was read.
        section: Section of the offending key.
        key: Offending key, empty when the section itself is at fault.
        value: Text that was found.
        expected: What would have been accepted.
    """

    def __init__(
        self, path: str, section: str, key: str, value: str, expected: str
    ) -> None:
        super().__init__(path, section, key, value, expected)
        self.path = path
        self.section = section
        self.key = key
        self.value = value
        self.expected = expected

    def __str__(self) -> str:
        place = f"{self.path}: [{self.section}]"
        if self.key:
            place = f"{place} {self.key}"
        return f"{place} = {self.value!r}: expected {self.expected}"


class RulesError(BurdockhitchError):
    """A line of a rules file is unusable.

    Args:
        line: Line number, from 1; 0 when the whole file is at fault.
        column: Column number, from 1.
        found: Text at that place.
        expected: What would have been accepted.
        suggestion: Nearest accepted text, empty when there is none.
    """

    def __init__(
        self, line: int, column: int, found: str, expected: str, suggestion: str = ""
    ) -> None:
        super().__init__(line, column, found, expected, suggestion)
        self.line = line
        self.column = column
        self.found = found
        self.expected = expected
        self.suggestion = suggestion

    def __str__(self) -> str:
        text = f"line {self.line}, column {self.column}: found {self.found!r}, "
        text += f"expected {self.expected}"
        if self.suggestion:
            text += f"; did you mean {self.suggestion!r}?"
        return text


class RulesUnreadableError(RulesError):
    """The rules file is empty or is not text."""


class RulesDuplicateError(RulesError):
    """Two lines of a rules file define the same thing."""


class RulesContradictionError(RulesError):
    """Two lines of a rules file can't both hold."""


class RulesFileError(BurdockhitchError):
    """A rules file has one or more unusable lines.

    Args:
        errors: One error per unusable line.
    """

    def __init__(self, errors: tuple[RulesError, ...]) -> None:
        super().__init__(errors)
        self.errors = errors

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)


class MergeConflictError(BurdockhitchError):
    """Two operators changed the same rule.

    Args:
        ours: Line of the pushed file, empty when it was deleted.
        theirs: Line in force, empty when it was deleted.
        our_requester: Who asked for the pushed line.
        their_requester: Who asked for the line in force.
    """

    def __init__(
        self, ours: str, theirs: str, our_requester: str, their_requester: str
    ) -> None:
        super().__init__(ours, theirs, our_requester, their_requester)
        self.ours = ours
        self.theirs = theirs
        self.our_requester = our_requester
        self.their_requester = their_requester

    def __str__(self) -> str:
        ours = self.ours or "(deleted)"
        theirs = self.theirs or "(deleted)"
        return (
            f"conflict: pushed {ours!r} (asked by {self.our_requester or 'nobody'}), "
            f"in force {theirs!r} (asked by {self.their_requester or 'nobody'})"
        )


class LargeDeletionError(BurdockhitchError):
    """A push deletes most of the rules without confirmation.

    Args:
        n_rules_before: Rules in force.
        n_rules_deleted: Rules that the push deletes.
    """

    def __init__(self, n_rules_before: int, n_rules_deleted: int) -> None:
        super().__init__(n_rules_before, n_rules_deleted)
        self.n_rules_before = n_rules_before
        self.n_rules_deleted = n_rules_deleted

    def __str__(self) -> str:
        return (
            f"the push deletes {self.n_rules_deleted} of {self.n_rules_before} rules; "
            "confirm with --allow-deletion"
        )


class BaseUnknownError(BurdockhitchError):
    """A pushed file does not say which revision it started from.

    Args:
        number: Number of the head revision.
    """

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self.number = number

    def __str__(self) -> str:
        return (
            f"revision {self.number} is in force, and the file does not say which "
            "revision it started from; run 'rules pull' and edit that file"
        )


class RequestUnknownError(BurdockhitchError):
    """No line of the logs names a request; it may have been left out."""

    def __str__(self) -> str:
        return f"no line names request {self.args[0]!r}"


class TransitionError(BurdockhitchError):
    """A life cycle has no such transition.

    Args:
        machine: Name of the life cycle.
        state: State the row was in.
        event: Input that was refused.
    """

    def __init__(self, machine: str, state: str, event: str) -> None:
        super().__init__(machine, state, event)
        self.machine = machine
        self.state = state
        self.event = event


class TableError(BurdockhitchError):
    """A table was used against its contract."""


class DuplicateKeyError(TableError):
    """A row with this primary key exists."""


class MissingKeyError(TableError):
    """No row has this primary key."""


class UnknownNameError(BurdockhitchError):
    """A registry has no entry of this name.

    Args:
        registry: Name of the registry.
        name: Name that was looked up.
        known: Names that are registered.
    """

    def __init__(self, registry: str, name: str, known: tuple[str, ...]) -> None:
        super().__init__(registry, name, known)
        self.registry = registry
        self.name = name
        self.known = known

    def __str__(self) -> str:
        return f"{self.registry} has no {self.name!r}; known: {', '.join(self.known)}"


class MessageError(BurdockhitchError):
    """A message between VMs was refused."""


class MessageVersionError(MessageError):
    """The message has another version."""


class MessageFleetError(MessageError):
    """The message belongs to another fleet."""


class MessageSizeError(MessageError):
    """The message is larger than the bound."""


class MessageFormatError(MessageError):
    """The message can't be decoded."""


class PlatformError(BurdockhitchError):
    """The platform did not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer; a write may have taken effect."""


class PlatformConflictError(PlatformError):
    """A condition of a transaction did not hold; nothing was written."""


class PlatformNotFoundError(PlatformError):
    """The platform has no such row or object."""


class PlatformHistoryGoneError(PlatformError):
    """The platform no longer has the changes after the version asked for."""


class PlatformBusyError(PlatformUnavailableError):
    """The platform turned the call away and did nothing."""


class DocumentError(BurdockhitchError):
    """A document of the platform is malformed.

    Args:
        name: What it describes, or its key.
        reason: What is wrong with it.
    """

    def __init__(self, name: str, reason: str) -> None:
        super().__init__(name, reason)
        self.name = name
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.name}: {self.reason}"


class ListenError(BurdockhitchError):
    """An address of the settings can't be listened on."""


class ExchangeFailedError(BurdockhitchError):
    """A call over HTTP ended without a whole answer."""


class SnapshotError(BurdockhitchError):
    """A peer's copy of the registry can't be read."""


class RequestRefusedError(BurdockhitchError):
    """Base of the refusals that callers see.

    Args:
        detail: What a person should know about this occurrence.
    """

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail)
        self.detail = detail


class NotRunError(RequestRefusedError):
    """The request was refused and was not run."""


class RouteNotFoundError(NotRunError):
    """No route matches the request."""


class HomeTokenRequiredError(NotRunError):
    """The route needs a key with the token of an address answer."""


class KeyRequiredError(NotRunError):
    """The route needs an idempotency key."""


class KeyReusedError(NotRunError):
    """The idempotency key was used for another request."""


class BodyTooLargeError(NotRunError):
    """The request body is larger than the bound."""


class RateLimitedError(NotRunError):
    """The caller's account is over its rate."""


class OverloadedError(NotRunError):
    """No slot came free in time."""


class DeadlineTooShortError(NotRunError):
    """The request can't be served within its deadline."""


class NoBackendServerError(NotRunError):
    """No backend server of the service can be reached."""


class PlatformClaimError(NotRunError):
    """The platform could not record the claim, so nothing was sent."""


class NotReadyError(NotRunError):
    """This VM has no configuration yet."""


class OutcomeUnknownError(RequestRefusedError):
    """The request may or may not have run."""


class AnswerLostError(OutcomeUnknownError):
    """The backend server got the request and no whole answer came back."""


class HomeGoneError(OutcomeUnknownError):
    """The VM that holds the record of this key is gone."""


class ClaimHeldError(OutcomeUnknownError):
    """An earlier request claimed this key."""


def error_name(error: type[BaseException] | BaseException) -> str:
    """Return the registered name of an error type.

    Args:
        error: An error or its type.

    Returns:
        The class name without the trailing ``Error``.
    """
    kind: Any = error if isinstance(error, type) else type(error)
    return kind.__name__.removesuffix("Error")
