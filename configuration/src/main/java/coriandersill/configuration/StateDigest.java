package coriandersill.configuration;

/**
 * The position of a process's proven state, which rides on ordinary messages between processes.
 *
 * @param position the last position that is part of the state; -1 without a proven state
 */
public record StateDigest(long position) {

    /** Whether the sender of this has seen more than the sender of {@code other}. */
    public boolean newerThan(StateDigest other) {
        return position > other.position;
    }
}
