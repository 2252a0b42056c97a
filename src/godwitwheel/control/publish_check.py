"""Validates publishes, which any program may send, not only the publish command."""

from ..internal.errors import InvalidValue
from ..internal.validation import check_between, check_name
from ..wire.control import Publish
from ..wire.errors import BadMessage
from ..wire.service import Access, Service, hash_services

MAX_PUBLISH_ID_CHARACTERS = 128


def check_publish(publish: Publish) -> Publish:
    """Returns the publish if it is valid.

    :raises BadMessage: naming the first invalid value.
    """
    try:
        length = len(publish.publish_id)
        check_between(length, 1, MAX_PUBLISH_ID_CHARACTERS, "length of publish_id")
        for name, service in publish.services.items():
            _check_service(name, service)
    except InvalidValue as error:
        raise BadMessage(str(error)) from error
    expected = hash_services(publish.services)
    if publish.content_hash != expected:
        raise BadMessage(
            f"content_hash: got {publish.content_hash!r}, expected {expected!r}"
        )
    return publish


def _check_service(name: str, service: Service) -> None:
    check_name(name, "service")
    if service.name != name:
        raise InvalidValue(f"services.{name}.name: got {service.name!r}")
    for request, rule in service.requests.items():
        field = f"services.{name}.requests.{request}"
        check_name(request, field)
        check_name(rule.group, f"{field}.group")
        if rule.access is Access.write and rule.max_staleness_ms:
            raise InvalidValue(f"{field}.max_staleness_ms: expected 0 for a write")
        if rule.access is Access.read and rule.repeatable:
            raise InvalidValue(f"{field}.repeatable: expected false for a read")
