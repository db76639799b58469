package org.cuminrack.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cuminrack.standin.EngineProfile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WorkloadTest {
  private static final LoadProfile PROFILE = ProfileFile.read("lyzicka").get();

  @ParameterizedTest
  @ValueSource(strings = {"lyzicka", "kamba"})
  void shouldReadTheBundledProfiles(String name) {
    LoadProfile profile = ProfileFile.read(name).get();

    assertThat(profile.name()).isEqualTo(name);
    assertThat(profile.organisations()).hasSize(10);
    assertThat(profile.dataCentres()).hasSize(3);
  }

  @Test
  void shouldNameTheUnknownProfileInTheError() {
    assertThat(ProfileFile.read("none.yaml").getLeft().get(0).toString()).contains("none.yaml");
  }

  @Test
  void shouldPlanTheSameRequestsForTheSameSeed() {
    List<PlannedRequest> one = Workload.of(PROFILE, 7).plan(10, Duration.ofMinutes(1));
    List<PlannedRequest> other = Workload.of(PROFILE, 7).plan(10, Duration.ofMinutes(1));

    assertThat(one).isEqualTo(other);
    assertThat(Workload.of(PROFILE, 8).plan(10, Duration.ofMinutes(1))).isNotEqualTo(one);
  }

  @Test
  void shouldPlanArrivalsAtTheMeanRate() {
    List<PlannedRequest> plan = Workload.of(PROFILE, 1).plan(50, Duration.ofMinutes(10));

    assertThat((double) plan.size()).isWithin(0.05 * 30_000).of(30_000);
    assertThat(plan.stream().map(PlannedRequest::arrivalNanos).toList()).isInOrder();
  }

  @Test
  void shouldPlanMoreRequestsFromTheSurgingOrganisation() {
    Surge surge = new Surge("mamka", 10, Duration.ofMinutes(1), Duration.ofMinutes(2));

    List<PlannedRequest> plan =
        Workload.of(PROFILE, 1).plan(20, Duration.ofMinutes(4), Optional.of(surge));

    double before = count(plan, "mamka", Duration.ZERO, Duration.ofMinutes(1));
    double during = count(plan, "mamka", Duration.ofMinutes(1), Duration.ofMinutes(3)) / 2.0;
    assertThat(during / before).isWithin(2).of(10);
  }

  @Test
  void shouldShareBlocksOnlyWithTheSamePrefix() {
    List<PlannedRequest> plan = Workload.of(PROFILE, 1).plan(50, Duration.ofMinutes(1));
    PlannedRequest first = plan.get(0);
    PlannedRequest same =
        plan.stream().skip(1).filter(each -> hasSamePrefix(first, each)).findAny().get();
    int sharedBlocks = first.trafficClass().prefixTokens() / EngineProfile.BLOCK_TOKENS;

    assertThat(same.blockHashes().subList(0, sharedBlocks))
        .isEqualTo(first.blockHashes().subList(0, sharedBlocks));
    assertThat(same.blockHashes().get(sharedBlocks))
        .isNotEqualTo(first.blockHashes().get(sharedBlocks));
    assertThat(first.prompt().split(" ", -1)).hasLength(first.promptTokens());
  }

  private static boolean hasSamePrefix(PlannedRequest one, PlannedRequest other) {
    return one.organisation().equals(other.organisation())
        && one.trafficClass().equals(other.trafficClass())
        && one.prefixIndex() == other.prefixIndex();
  }

  private static long count(
      List<PlannedRequest> plan, String organisation, Duration from, Duration to) {
    return plan.stream()
        .filter(each -> each.organisation().equals(organisation))
        .filter(each -> each.arrivalNanos() >= from.toNanos() && each.arrivalNanos() < to.toNanos())
        .count();
  }
}
