package coriandersill.examples.judge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import coriandersill.rollout.Judgement;
import org.junit.jupiter.api.Test;

class CompareVersionsTest {
    @Test
    void aVersionWithThreeTimesTheFailuresIsJudgedBadAndAnEqualOneProven() {
        assertThat(CompareVersions.judge(0.06).finding(), is(Judgement.Finding.BAD));
        assertThat(CompareVersions.judge(0.02).finding(), is(Judgement.Finding.PROVEN));
    }
}
