package org.cuminrack.process;

import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.Methods;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cuminrack.config.Configuration;
import org.cuminrack.http.HttpCall;
import org.cuminrack.http.HttpClient;
import org.cuminrack.http.HttpResponse;
import org.cuminrack.http.Json;
import org.cuminrack.operator.OperatorClient;
import org.cuminrack.settings.SettingsFile;
import org.cuminrack.system.Conditions;
import org.cuminrack.system.FreePorts;
import org.cuminrack.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three control processes of an open group, of which one is a seed. */
class OpenGroupOperatorTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final String SEED = "127.0.41.1";
  private static final List<String> OTHERS = List.of("127.0.41.2", "127.0.41.3");

  @TempDir Path folder;
  private final int wirePort = FreePorts.port();
  private final int httpPort = FreePorts.port();
  private final int controlPort = FreePorts.port();
  private final int directoryPort = FreePorts.port();
  private final HttpClient http = new HttpClient();
  private final List<ControlProcess> started = new ArrayList<>();

  @AfterEach
  void stop() {
    http.stop();
    started.forEach(ControlProcess::stop);
  }

  @Test
  void shouldAnswerOperatorsAfterTheOnlySeedIsLost() throws IOException {
    http.start();
    ControlProcess seed = start(SEED);
    for (String vm : OTHERS) {
      start(vm);
    }
    for (String vm : OTHERS) {
      Conditions.await(vm + " to know three voters", TIMEOUT, () -> isVoterOfThree(vm));
    }

    seed.stop();

    for (String vm : OTHERS) {
      OperatorClient operator =
          new OperatorClient(List.of(vm + ":" + httpPort), TIMEOUT, Clock.system());
      operator.start();
      Either<String, Configuration> configuration = operator.configuration();
      operator.stop();
      assertWithMessage("configuration at %s: %s", vm, configuration)
          .that(configuration.isRight())
          .isTrue();
    }
  }

  private boolean isVoterOfThree(String vm) {
    Either<?, HttpResponse> response =
        http.send(HttpCall.of(Methods.GET, vm + ":" + httpPort, "/dump")).join();
    if (response.isLeft()) {
      return false;
    }
    JsonNode quorum = Json.readTree(response.get().body().toByteArray()).get().path("quorum");
    return quorum.path("voters").size() == 3 && !quorum.path("replacing").asBoolean();
  }

  private ControlProcess start(String vm) throws IOException {
    Path file =
        Files.writeString(
            folder.resolve(vm + ".yaml"),
            """
            vm: "%1$s"
            region: "local"
            data_centre: "dc-a"
            wire_address: "%1$s:%2$d"
            http_address: "%1$s:%3$d"
            data_folder: "%4$s"
            control_address: "%1$s:%5$d"
            directory_address: "%1$s:%6$d"
            tolerated_vm_losses: 1
            control_seeds: ["%7$s:%5$d"]
            """
                .formatted(
                    vm,
                    wirePort,
                    httpPort,
                    folder.resolve("data-" + vm),
                    controlPort,
                    directoryPort,
                    SEED));
    ControlProcess process = new ControlProcess(SettingsFile.control(file).get(), Clock.system());
    process.start();
    started.add(process);
    return process;
  }
}
