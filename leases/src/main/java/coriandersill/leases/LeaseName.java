package coriandersill.leases;

/**
 * The name of a lease, which identifies what the lease protects.
 *
 * @param value 1 to 300 characters
 */
public record LeaseName(String value) implements Comparable<LeaseName> {

    /** Throws {@link IllegalArgumentException} if the name is null, empty or too long. */
    public LeaseName {
        if (value == null || value.isEmpty() || value.length() > 300) {
            throw new IllegalArgumentException("lease name: expected 1 to 300 characters, found \"" + value + "\"");
        }
    }

    /** Returns the name with the given text. */
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
