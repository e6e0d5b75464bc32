"""Fields of a configuration that findings refer to."""

from __future__ import annotations

from enum import StrEnum


class ConfiguredField(StrEnum):
    """Fields in the product's words, whatever the file calls them."""

    VERSION = "version"
    NAME = "name"
    HOST = "host"
    PATH_PREFIX = "path prefix"
    SERVICE = "service"
    PRIORITY = "priority"
    MAX_ATTEMPTS = "maximum of attempts"
    STRETCH = "stretch"
    OBJECTIVE = "objective"
    CALL_TIMEOUT = "time-out"
    TICKET_TERMS = "ticket terms"
    TICKET_VALIDITY = "ticket validity"
    MAX_BODY = "body limit"
    BODY_TIMEOUT = "time limit of bodies"
    LABEL = "label"
    CPU = "CPU"
    MEMORY = "memory"
    ACCELERATORS = "accelerators"
    RUN_TIME = "declared run time"
    DUE_TIME = "due time"
    KIND = "kind"
    TEAM = "team"
    URGENCY = "urgency"
    REPLICAS = "replicas"
    IDEMPOTENT = "idempotence"
    REQUEST_DEADLINE = "default deadline"
    QUEUE_LIMIT = "queue limit"
