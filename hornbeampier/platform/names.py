"""Environment variable, topics and header names of the platform."""

SETTINGS_VARIABLE = "HORNBEAMPIER_SETTINGS"

# Key of the settings.
MEMORY_LIMIT = "memoryMb"

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
ENDPOINT_TOPIC = "keyed.servers"

# Topic with the leases of duties and the records of their holders.
DUTY_TOPIC = "keyed.duties"
USAGE_DUTY = "metering"
SCALING_DUTY = "autoscaling"
# The position of a duty is its partition in the topic, on VMs of all versions.
DUTIES = (USAGE_DUTY, SCALING_DUTY)
DUTY_HOLDER = b"x-hornbeampier-duty-holder"
FENCING_TOKEN = b"x-hornbeampier-fencing-token"

REQUEST_ID = b"x-hornbeampier-attempt-id"
DEADLINE = b"x-hornbeampier-deadline-ms"
ACCOUNT = b"x-hornbeampier-tenant"
INSTANCE = b"x-hornbeampier-instance-id"
EXPECT_INSTANCE = b"x-hornbeampier-expect-instance"
EXPECT_VERSION = b"x-hornbeampier-expect-version"
# First line of an event at which the version of an engine's weights changes.
EVENT_VERSION = b"x-hornbeampier-weight-versions"
SIGNATURE = b"x-hornbeampier-server-seal"
NOT_EXECUTED = b"x-hornbeampier-not-executed"
LOAD = b"x-hornbeampier-server-load"
MODEL = b"x-hornbeampier-model"
TOKENS = b"x-hornbeampier-token-usage"
PROMPT_SEGMENTS = b"x-hornbeampier-prompt-prefix"
LENGTH_HINT = b"x-hornbeampier-length-hint"
URGENCY = b"x-hornbeampier-request-urgency"
HOLD = b"x-hornbeampier-hold"
PIN = b"x-hornbeampier-pin-ms"
KV_BACKUP = b"x-hornbeampier-kv-backup"
KV_FROM = b"kv-from"
KV_FETCH = b"kv-fetch"
LAST_EVENT_ID = b"last-event-id"
# Id of the client attempt that brought the first event of a stream which the
# caller takes up again.
RESUMES = b"resumes"
# Requests per second that an endpoint accepts from all VMs together.
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
# How often the store has returned from an older copy.
ERA = b"store-era"

# Only VMs and endpoints set these; values from callers are not forwarded. A
# caller's deadline is read, and endpoints get the remaining time instead.
RESERVED = frozenset(
    {
        ACCOUNT,
        DEADLINE,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        URGENCY,
        HOLD,
        PIN,
        KV_BACKUP,
        KV_FROM,
        KV_FETCH,
        INSTANCE,
        SIGNATURE,
        NOT_EXECUTED,
        LOAD,
    }
)
