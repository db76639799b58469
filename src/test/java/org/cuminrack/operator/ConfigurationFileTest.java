package org.cuminrack.operator;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cuminrack.yaml.YamlError;
import org.junit.jupiter.api.Test;

class ConfigurationFileTest {

  @Test
  void shouldReportTheLineAndItemOfAnInvalidValue() {
    assertThat(errors("organisations:\n  - name: app\n    weight: heavy\n"))
        .containsExactly(
            "plan.yaml:3: organisations[0].weight: expected a whole number from 1 to 1000, found"
                + " 'heavy'");
  }

  @Test
  void shouldRejectAnUnknownKeyOfAnItem() {
    assertThat(errors("data_centres:\n  - name: dc-a\n    drain: true\n"))
        .containsExactly(
            "plan.yaml:3: data_centres[0].drain: expected one of drained, name, found an unknown"
                + " key");
  }

  @Test
  void shouldRejectARouteToAnUnknownService() {
    assertThat(
            errors(
                """
                services:
                  - name: shop
                    service_kind: plain
                routes:
                  - name: r
                    service: shoe
                """))
        .containsExactly(
            "plan.yaml:1: route/r.service: expected a service of this file, one of shop, found"
                + " 'shoe'");
  }

  @Test
  void shouldRejectADuplicateName() {
    assertThat(errors("data_centres:\n  - name: dc-a\n  - name: dc-a\n"))
        .containsExactly("plan.yaml:1: data-centre/dc-a: expected each name once, found it twice");
  }

  private static List<String> errors(String text) {
    return ConfigurationFile.parse("plan.yaml", text).getLeft().stream()
        .map(YamlError::toString)
        .toList();
  }
}
