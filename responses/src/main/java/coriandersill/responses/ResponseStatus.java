package coriandersill.responses;

/** What the status code of an HTTP response makes of it (RFC 9110, section 15). */
public enum ResponseStatus {
    /** 100 to 199: a response that precedes the final one. */
    INTERIM,
    /** 200 to 599: the response to the request. */
    FINAL,
    /** Any other code: no response of the protocol. */
    INVALID;

    private static final int FIRST_INTERIM_CODE = 100;
    private static final int FIRST_FINAL_CODE = 200;
    private static final int LAST_FINAL_CODE = 599;

    /** Returns the meaning of a status code; any number is accepted. */
    public static ResponseStatus of(int code) {
        if (code < FIRST_INTERIM_CODE || code > LAST_FINAL_CODE) {
            return INVALID;
        }
        return code < FIRST_FINAL_CODE ? INTERIM : FINAL;
    }

    /**
     * Returns whether a response that ends with this status code answers its request. One that does not says nothing:
     * neither of the request, whose outcome is unknown, nor of its upstream.
     */
    public static boolean isAnswer(int code) {
        return of(code) == FINAL;
    }

    /** Returns the description of a response that is no answer, for a failure. */
    public static String describeNoAnswer(int code) {
        return "status: expected " + FIRST_FINAL_CODE + " to " + LAST_FINAL_CODE + ", found " + code;
    }
}
