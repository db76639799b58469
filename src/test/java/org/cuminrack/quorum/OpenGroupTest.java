package org.cuminrack.quorum;

import static com.google.common.truth.Truth.assertThat;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.cuminrack.system.FreePorts;
import org.cuminrack.time.Clock;
import org.cuminrack.wire.Method;
import org.cuminrack.wire.WireClient;
import org.cuminrack.wire.WireGroup;
import org.cuminrack.wire.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests an open group: VMs are named by address, and new VMs replace lost ones. */
class OpenGroupTest {
  private static final WireGroup GROUP = new WireGroup("eu", "main");
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final List<String> FOUNDERS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");
  private static final String NEW_VM = "127.0.0.4";

  @TempDir Path folder;
  private final int port = FreePorts.port();
  private final Map<String, OpenVm> vms = new TreeMap<>();
  private LossTolerance tolerance = new LossTolerance(1, 1);

  @AfterEach
  void stopAll() {
    vms.values().forEach(OpenVm::stop);
  }

  @Test
  void shouldReplaceALostVmByANewOne() {
    FOUNDERS.forEach(founder -> start(founder, true));
    propose("before");
    String lost = FOUNDERS.get(2);
    vms.remove(lost).stop();

    start(NEW_VM, false);

    TestGroup.await(
        "the new VM to replace the lost one as a voter",
        () -> voters().contains(NEW_VM) && !voters().contains(lost));
    propose("after");
    TestGroup.await(
        "the new VM to apply all lines",
        () -> vms.get(NEW_VM).list.lines().containsAll(List.of("before", "after")));
  }

  @Test
  void shouldKeepTheVotersWhileAllOfThemAreReachable() {
    FOUNDERS.forEach(founder -> start(founder, true));
    propose("before");

    start(NEW_VM, false);

    TestGroup.await(
        "the new VM to be caught up", () -> vms.get(NEW_VM).list.lines().contains("before"));
    assertThat(voters()).containsExactlyElementsIn(FOUNDERS);
  }

  @Test
  void shouldTolerateTwoLostDisksRightAfterTheFirstAcknowledgement() {
    tolerance = new LossTolerance(2, 1);
    FOUNDERS.forEach(founder -> start(founder, true));
    start(NEW_VM, true);
    start("127.0.0.5", true);
    propose("first");

    List<String> all = List.copyOf(vms.keySet());
    all.forEach(name -> vms.get(name).stop());
    all.subList(0, 2).forEach(this::wipe);
    all.forEach(name -> start(name, false));

    propose("second");
    TestGroup.await(
        "all VMs to apply both lines",
        () ->
            vms.values().stream()
                .allMatch(vm -> vm.list.lines().containsAll(List.of("first", "second"))));
  }

  @Test
  void shouldKeepAMajorityOutsideOfEachDataCentre() {
    tolerance = new LossTolerance(2, 1);
    FOUNDERS.forEach(founder -> start(founder, "dc-" + founder, true));
    start(NEW_VM, "dc-" + FOUNDERS.get(0), true);
    start("127.0.0.5", "dc-" + FOUNDERS.get(0), true);
    start("127.0.0.6", "dc-other", true);
    start("127.0.0.7", "dc-other", true);
    propose("first");

    List<String> dataCentres =
        List.copyOf(leader().orElseThrow().node.status().dataCentres().values());

    assertThat(dataCentres).hasSize(5);
    assertThat(tolerance.majoritySurvivesDataCentreLosses(dataCentres)).isTrue();
  }

  @Test
  void shouldNotCountABlankReplicaAsCurrent() {
    start(FOUNDERS.get(0), true);
    start(FOUNDERS.get(1), true);

    TestGroup.await("both to search", () -> vms.values().stream().allMatch(OpenVm::hasStepped));

    vms.values().forEach(vm -> assertThat(vm.node.isCurrent()).isFalse());
  }

  private void wipe(String name) {
    try (Stream<Path> files = Files.walk(folder.resolve(name))) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void start(String name, boolean mayFormGroup) {
    start(name, "dc-" + name, mayFormGroup);
  }

  private void start(String name, String dataCentre, boolean mayFormGroup) {
    OpenVm vm = new OpenVm(name, dataCentre, mayFormGroup);
    vms.put(name, vm);
    vm.start();
  }

  private Optional<OpenVm> leader() {
    return vms.values().stream().filter(vm -> vm.node.isLeader()).findFirst();
  }

  private List<String> voters() {
    return leader().map(vm -> List.copyOf(vm.node.status().voters().keySet())).orElse(List.of());
  }

  private void propose(String line) {
    TestGroup.await(
        line + " to be applied",
        () ->
            new ArrayList<>(vms.values())
                .stream()
                    .filter(vm -> vm.node.isLeader())
                    .anyMatch(
                        vm -> vm.node.propose(TextList.bytes(line), TIMEOUT).join().isRight()));
  }

  /** A VM named by its loopback address. */
  private final class OpenVm {
    private final TextList list = new TextList();
    private final WireClient client = new WireClient(GROUP);
    private final WireServer server;
    private final QuorumNode node;
    private final AtomicInteger receivedPackets = new AtomicInteger();

    OpenVm(String name, String dataCentre, boolean mayFormGroup) {
      Map<String, String> founders = new TreeMap<>();
      FOUNDERS.forEach(founder -> founders.put(founder, founder + ":" + port));
      QuorumSettings settings =
          new QuorumSettings(
              name,
              dataCentre,
              founders,
              port,
              mayFormGroup,
              tolerance,
              folder.resolve(name),
              Duration.ofMillis(30),
              Duration.ofMillis(150),
              Duration.ofMillis(300),
              100);
      node = new QuorumNode(settings, list, client, Clock.system(), new Random(name.hashCode()));
      server =
          new WireServer(new InetSocketAddress(name, port), GROUP)
              .serve(Method.QUORUM_MESSAGE, this::receive);
    }

    private CompletableFuture<byte[]> receive(byte[] payload) {
      receivedPackets.incrementAndGet();
      return node.handler().handle(payload);
    }

    /** Returns whether the other replicas have sent several packets, and so has this one. */
    boolean hasStepped() {
      return receivedPackets.get() > 4;
    }

    void start() {
      client.start();
      node.start();
      server.start();
    }

    void stop() {
      server.stop();
      node.stop();
      client.stop();
    }
  }
}
