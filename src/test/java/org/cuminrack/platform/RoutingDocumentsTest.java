package org.cuminrack.platform;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cuminrack.routing.HttpRoute;
import org.cuminrack.routing.RequestKind;
import org.cuminrack.routing.RoutingTable;
import org.junit.jupiter.api.Test;

class RoutingDocumentsTest {
  private static final String ROUTE =
      """
      {"name":"r","host":"shop.example","path-prefix":"/a/","kind":"streaming","timeout-ms":6000,
       "target-latency-ms":1500,"target-gap-ms":180,"priority":1,"service":"llm","max-attempts":1,"public":false}""";
  private static final String SERVICE =
      """
      {"name":"llm","health-path":"/health","max-conns":222,"cold-per-s":27.0,
       "engine":{"slots":24,"kv-capacity-tokens":34240,"stride":4,"backups":true}}""";
  private static final String TENANT =
      """
      {"name":"org-1","api-keys":["key-1","key-2"],"priority":2}""";

  @Test
  void shouldDecodeARoute() {
    RoutingTable table = decode(document(ROUTE, SERVICE, TENANT)).get();

    HttpRoute route = table.route("shop.example", "/a/x").get();
    assertThat(route.kind()).isEqualTo(RequestKind.EVENT_STREAM);
    assertThat(route.timeout()).isEqualTo(Duration.ofSeconds(6));
    assertThat(route.targetEventGap()).hasValue(Duration.ofMillis(180));
    assertThat(table.holderOf("key-2").get().organisation()).isEqualTo("org-1");
    assertThat(table.holderOf("key-2").get().priority()).hasValue(2);
    assertThat(table.service("llm").get().engine().get().memoryTokens()).isEqualTo(34_240);
  }

  @Test
  void shouldDecodeWeights() {
    String split =
        ROUTE.replace(
            "\"service\":\"llm\"",
            "\"split\":[{\"service\":\"llm\",\"weight\":90},{\"service\":\"llm\",\"weight\":10}]");

    assertThat(decode(document(split, SERVICE, TENANT)).get().routes().get(0).services())
        .hasSize(2);
  }

  @Test
  void shouldDecodeTheWeightOfAnOrganisation() {
    assertThat(weightOfTenantWith("\"weight\":2.5")).isEqualTo(2.5);
    assertThat(weightOfTenantWith("\"weight\":null")).isEqualTo(1.0);
  }

  @Test
  void shouldUseTheDefaultForAWeightThatCannotBeUsed() {
    for (String weight : new String[] {"0", "-1", "1e99", "\"much\"", "[]"}) {
      assertThat(weightOfTenantWith("\"weight\":" + weight)).isEqualTo(1.0);
    }
  }

  private static double weightOfTenantWith(String field) {
    String tenant = TENANT.replace("\"priority\":2", field);
    return decode(document(ROUTE, SERVICE, tenant)).get().weightOf("org-1");
  }

  @Test
  void shouldRejectATruncatedDocument() {
    String complete = document(ROUTE, SERVICE, TENANT);

    assertThat(decode(complete.substring(0, complete.length() - 20)).isLeft()).isTrue();
  }

  @Test
  void shouldRejectAnUnknownService() {
    assertThat(error(document(ROUTE.replace("\"llm\"", "\"none\""), SERVICE, TENANT)))
        .isEqualTo("service: expected one of services, found none");
  }

  @Test
  void shouldRejectTwoRoutesWithTheSameHostAndPrefix() {
    assertThat(error(document(ROUTE + "," + ROUTE, SERVICE, TENANT)))
        .isEqualTo("routes: expected each host and prefix once, found r");
  }

  @Test
  void shouldRejectATimeoutOfZero() {
    assertThat(error(document(ROUTE.replace("6000", "0"), SERVICE, TENANT)))
        .isEqualTo("timeout-ms: expected more than 0, found r");
  }

  @Test
  void shouldRejectWeightsThatAddUpToZero() {
    String split =
        ROUTE.replace("\"service\":\"llm\"", "\"split\":[{\"service\":\"llm\",\"weight\":0}]");

    assertThat(error(document(split, SERVICE, TENANT))).startsWith("split: expected weights");
  }

  @Test
  void shouldRejectAKeyOfTwoOrganisations() {
    String other = TENANT.replace("org-1", "org-2");

    assertThat(error(document(ROUTE, SERVICE, TENANT + "," + other)))
        .isEqualTo("api-keys: expected each key once, found org-2");
  }

  /** Guards against routes that open to everybody once the last key is revoked. */
  @Test
  void shouldRequireKeysAsLongAsTheDocumentContainsTenants() {
    String withoutKeys = "{\"name\":\"org-1\",\"api-keys\":[]}";

    assertThat(decode(document(ROUTE, SERVICE, withoutKeys)).get().requiresApiKeys()).isTrue();
    assertThat(decode(document(ROUTE, SERVICE, "")).get().requiresApiKeys()).isTrue();
  }

  @Test
  void shouldRequireNoKeysWithoutTenants() {
    String document = document(ROUTE, SERVICE, "").replace("\"tenants\":[]", "\"version\":7");

    assertThat(decode(document).get().requiresApiKeys()).isFalse();
  }

  @Test
  void shouldRejectTenantsThatAreNotAList() {
    String document = document(ROUTE, SERVICE, "").replace("\"tenants\":[]", "\"tenants\":null");

    assertThat(error(document)).isEqualTo("tenants: expected a list, found null");
  }

  @Test
  void shouldRejectADocumentThatIsNotAnObject() {
    assertThat(decode("[]").isLeft()).isTrue();
    assertThat(decode("7").isLeft()).isTrue();
    assertThat(decode("").isLeft()).isTrue();
  }

  private static String document(String routes, String services, String tenants) {
    return """
        {"version":7,"routes":[%s],"services":[%s],"limits":{"max-body-bytes":4194304},
         "tenants":[%s]}"""
        .formatted(routes, services, tenants);
  }

  private static Either<String, RoutingTable> decode(String document) {
    return new RoutingDocuments().decode(document.getBytes(StandardCharsets.UTF_8));
  }

  private static String error(String document) {
    return decode(document).getLeft();
  }
}
