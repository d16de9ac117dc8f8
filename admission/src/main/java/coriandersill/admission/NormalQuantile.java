package coriandersill.admission;

/** Quantiles of the standard normal distribution, by the rational approximation 26.2.23 of Abramowitz and Stegun. */
final class NormalQuantile {
    private NormalQuantile() {}

    /** Returns the value that is exceeded with {@code probability}, which is above 0 and at most 0.5. */
    static double upper(double probability) {
        double t = Math.sqrt(-2 * Math.log(probability));
        double numerator = 2.515517 + t * (0.802853 + t * 0.010328);
        double denominator = 1 + t * (1.432788 + t * (0.189269 + t * 0.001308));
        return t - numerator / denominator;
    }
}
