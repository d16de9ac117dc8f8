package coriandersill.rollout;

/**
 * How many calls a version may receive that turns out to be bad.
 *
 * @param fraction a fraction of all calls of the service, from 0 to 1
 * @param calls a number of calls beyond that
 */
public record ExposureLimit(double fraction, double calls) {
    /** Throws {@link IllegalArgumentException} if a value is out of range. */
    public ExposureLimit {
        if (!(fraction >= 0 && fraction <= 1 && calls >= 0)) {
            throw new IllegalArgumentException("exposure limit: expected a fraction from 0 to 1 and calls >= 0, found "
                    + fraction + " and " + calls);
        }
    }
}
