package coriandersill.configuration;

/**
 * The position of a process's complete state, which is included in the messages that processes exchange.
 *
 * @param position the position of the last record included in the state; -1 if the state is not complete
 */
public record StateDigest(long position) {

    /** Returns whether the state of this digest is newer than that of {@code other}. */
    public boolean isNewerThan(StateDigest other) {
        return position > other.position;
    }
}
