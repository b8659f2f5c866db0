#include "Bench/ControlFaults.h"

namespace corneldeck::bench {

using base::Millis;
using fakes::AppendFault;

namespace {

constexpr Millis UsualDelay(1);
constexpr Millis SlowDelay(400);
constexpr double LossRatio = 0.3;

/// The entries by what they do in the scripts.
const char *const Publisher = "entry0";
const char *const Reader = "entry1";
const char *const Agent = "agent0";

void nothing(ControlCluster &) {}

ControlFault appendFault(const std::string &Name, AppendFault Fault) {
  return {Name,
          [Fault](ControlCluster &Cluster) {
            Cluster.log().orderFault(Publisher, Fault);
          },
          nothing};
}

ControlFault restartOf(const std::string &Name,
                       const std::vector<std::string> &Nodes) {
  return {Name,
          [Nodes](ControlCluster &Cluster) {
            for (const std::string &Node : Nodes)
              Cluster.kill(Node);
          },
          [Nodes](ControlCluster &Cluster) {
            for (const std::string &Node : Nodes)
              if (!Cluster.core(Node))
                Cluster.start(Node);
          }};
}

ControlFault pauseOf(const std::string &Name, const std::string &Node) {
  return {Name, [Node](ControlCluster &Cluster) { Cluster.pause(Node); },
          [Node](ControlCluster &Cluster) { Cluster.resume(Node); }};
}

void setLoss(ControlCluster &Cluster, double Ratio) {
  for (const std::string &From : Cluster.nodes())
    for (const std::string &To : Cluster.nodes())
      if (From != To) {
        Cluster.network().path(From, To).m_LossRatio = Ratio;
        Cluster.network().path(From, To).m_DuplicateRatio = Ratio;
        Cluster.network().path(From, To).m_Jitter = Millis(Ratio > 0 ? 200 : 0);
      }
}

ControlFault logOut() {
  return {"log-out",
          [](ControlCluster &Cluster) { Cluster.log().setOut(true); },
          [](ControlCluster &Cluster) { Cluster.log().setOut(false); }};
}

ControlFault logSlow() {
  return {"log-slow",
          [](ControlCluster &Cluster) { Cluster.log().setDelay(SlowDelay); },
          [](ControlCluster &Cluster) { Cluster.log().setDelay(UsualDelay); }};
}

ControlFault cutFromLog() {
  return {"reader-cut-from-log",
          [](ControlCluster &Cluster) { Cluster.log().setCut(Reader, true); },
          [](ControlCluster &Cluster) { Cluster.log().setCut(Reader, false); }};
}

ControlFault isolated() {
  return {"reader-cut-off",
          [](ControlCluster &Cluster) { Cluster.isolate(Reader, true); },
          [](ControlCluster &Cluster) { Cluster.isolate(Reader, false); }};
}

ControlFault cutFromPeers() {
  return {
      "publisher-cut-from-peers",
      [](ControlCluster &Cluster) { Cluster.cutFromPeers(Publisher, true); },
      [](ControlCluster &Cluster) { Cluster.cutFromPeers(Publisher, false); }};
}

ControlFault lossy() {
  return {"messages-lost-doubled-late",
          [](ControlCluster &Cluster) { setLoss(Cluster, LossRatio); },
          [](ControlCluster &Cluster) { setLoss(Cluster, 0); }};
}

ControlFault racing() {
  return {"racing-operator",
          [](ControlCluster &Cluster) { Cluster.publish(Reader, "a"); },
          nothing};
}

ControlFault otherOwner() {
  return {
      "other-owner",
      [](ControlCluster &Cluster) { Cluster.publish(Reader, "a", "stranger"); },
      nothing};
}

/// A node misses more than the log keeps.
ControlFault beyondRetention() {
  return {"reader-misses-expired-records",
          [](ControlCluster &Cluster) { Cluster.pause(Reader); },
          [](ControlCluster &Cluster) {
            Cluster.run(base::seconds(50));
            Cluster.resume(Reader);
          }};
}

/// Only the publisher reads its change; then the log goes out and the
/// publisher is replaced.
ControlFault onlyReaderReplaced() {
  const auto Strike = [](ControlCluster &Cluster) {
    Cluster.log().setOut(true);
    Cluster.restart(Publisher);
  };
  return {"only-reader-replaced-in-outage",
          [Strike](ControlCluster &Cluster) {
            for (const std::string &Node : Cluster.nodes())
              Cluster.log().setCut(Node, Node != Publisher);
            Cluster.time().after(Millis(40),
                                 [&Cluster, Strike] { Strike(Cluster); });
          },
          healAll};
}

std::vector<ControlFault> makeFaults() {
  return {logOut(),
          logSlow(),
          appendFault("append-answer-lost", AppendFault::LoseAnswer),
          appendFault("append-lost", AppendFault::LoseRequest),
          appendFault("append-lands-late", AppendFault::LandLate),
          appendFault("append-refused", AppendFault::Refuse),
          restartOf("publisher-replaced", {Publisher}),
          restartOf("reader-replaced", {Reader}),
          restartOf("agent-replaced", {Agent}),
          restartOf("all-but-one-replaced", {"entry0", "entry1", Agent}),
          restartOf("all-but-agent-replaced", {"entry0", "entry1", "entry2"}),
          restartOf("all-replaced", {"entry0", "entry1", "entry2", Agent}),
          pauseOf("publisher-paused", Publisher),
          pauseOf("reader-paused", Reader),
          cutFromLog(),
          isolated(),
          cutFromPeers(),
          lossy(),
          racing(),
          otherOwner(),
          beyondRetention(),
          onlyReaderReplaced()};
}

} // namespace

const std::vector<ControlFault> &controlFaults() {
  static const std::vector<ControlFault> Faults = makeFaults();
  return Faults;
}

void healAll(ControlCluster &Cluster) {
  Cluster.log().setOut(false);
  Cluster.log().setDelay(UsualDelay);
  setLoss(Cluster, 0);
  for (const std::string &Node : Cluster.nodes()) {
    Cluster.isolate(Node, false);
    Cluster.resume(Node);
    if (!Cluster.core(Node))
      Cluster.start(Node);
  }
}

} // namespace corneldeck::bench
