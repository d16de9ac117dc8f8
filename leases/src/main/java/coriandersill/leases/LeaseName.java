package coriandersill.leases;

/**
 * The name of a lease: what it protects.
 *
 * @param value from 1 to 300 characters
 */
public record LeaseName(String value) implements Comparable<LeaseName> {

    /** Refuses null, empty and too long names. */
    public LeaseName {
        if (value == null || value.isEmpty() || value.length() > 300) {
            throw new IllegalArgumentException("lease name: expected 1 to 300 characters, found \"" + value + "\"");
        }
    }

    /** Returns the name for its text. */
    public static LeaseName of(String value) {
        return new LeaseName(value);
    }

    @Override
    public int compareTo(LeaseName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
