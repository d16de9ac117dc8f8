package coriandersill.examples.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

final class AdmitGenerationsTest {

    @Test
    void everyGenerationOfTheBurstIsAdmittedOrRefusedAndTheConcurrencyStaysWithinItsLimit() {
        AdmitGenerations.Outcome outcome = AdmitGenerations.run();
        assertThat(outcome.admitted() + outcome.refused(), is(40));
        assertThat(outcome.admitted(), greaterThan(4));
        assertThat(outcome.maxRunning(), lessThanOrEqualTo(32));
    }
}
