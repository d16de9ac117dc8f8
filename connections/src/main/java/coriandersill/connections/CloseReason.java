package coriandersill.connections;

/** Why a connection was closed or a request on it refused. */
public enum CloseReason {
    /** The bytes before or within a request head exceed its limit. */
    HEAD_TOO_LARGE("431 Request Header Fields Too Large"),
    /** The bytes of a body with its framing exceed their limit. */
    BODY_TOO_LARGE(""),
    /** A request head did not arrive in time. */
    HEAD_TIMEOUT("408 Request Timeout"),
    /** No byte of a body arrived for the idle timeout. */
    BODY_TIMEOUT("408 Request Timeout"),
    /** Nothing was transferred for the idle timeout. */
    IDLE(""),
    /** The memory for requests and responses ran out. */
    NO_MEMORY("503 Service Unavailable"),
    /** The connections of the port ran out. */
    TOO_MANY_CONNECTIONS("503 Service Unavailable");

    private final String status;

    CloseReason(String status) {
        this.status = status;
    }

    /** Returns the status with which a request that has not begun is refused; empty if there is none. */
    String status() {
        return status;
    }
}
