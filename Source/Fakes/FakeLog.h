#ifndef CORNELDECK_FAKES_FAKELOG_H
#define CORNELDECK_FAKES_FAKELOG_H

#include "Base/Random.h"
#include "Catalogue/LogClient.h"
#include "Fakes/VirtualTime.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::fakes {

/// What befalls one append.
enum class AppendFault {
  None,
  LoseAnswer,  ///< It lands and no answer comes.
  LoseRequest, ///< It never lands and no answer comes.
  LandLate,    ///< No answer comes; it lands after LateDelay.
  Refuse       ///< The connection fails before it is sent.
};

/// The platform's log service on virtual time, with faults to order.
class FakeLog {
public:
  /// One accepted append; the whole history is kept for oracles.
  struct Stored {
    wire::LogRecord m_Record;
    base::Millis m_At{};
  };

  explicit FakeLog(VirtualTime &Time) : m_Time(Time) {}

  /// \returns a client for \p Node; it must not outlive this object.
  catalogue::LogClient client(const std::string &Node);

  /// Nobody gets an answer while the log is out.
  void setOut(bool Out) { m_Out = Out; }
  /// Each request takes this long one way.
  void setDelay(base::Millis Delay) { m_Delay = Delay; }
  /// Cuts one node off from the log, or heals it.
  void setCut(const std::string &Node, bool Cut) { m_Cut[Node] = Cut; }
  /// Orders faults for the next appends of \p Node, first to last.
  void orderFault(const std::string &Node, AppendFault Fault);
  /// Sets the time after which LandLate appends land.
  void setLateDelay(base::Millis Delay) { m_LateDelay = Delay; }

  /// Drops the records up to and with \p Offset.
  void expireUpTo(std::uint64_t Offset);
  /// Drops records older than \p Age whenever a read comes; 0 for never.
  void setRetention(base::Millis Age) { m_Retention = Age; }

  /// Calls \p Hook with each record as it lands.
  void setAppendHook(std::function<void(const wire::LogRecord &)> Hook) {
    m_OnAppend = std::move(Hook);
  }

  /// Appends at once, past all faults.
  std::uint64_t appendNow(const wire::LogRecord &Record);

  /// \returns every record ever appended; offset 1 first.
  [[nodiscard]] const std::vector<Stored> &history() const { return m_History; }
  /// \returns the oldest retained offset, as of the last read.
  [[nodiscard]] std::uint64_t oldest() const { return m_Oldest; }
  [[nodiscard]] std::uint64_t next() const { return m_History.size() + 1; }

private:
  struct Waiter {
    std::string m_Node;
    catalogue::ReadRequest m_Request;
    catalogue::LogClient::ReadDone m_Done;
  };

  [[nodiscard]] bool unreachable(const std::string &Node) const;
  AppendFault takeFault(const std::string &Node);
  void append(const std::string &Node, const wire::LogRecord &Record,
              const catalogue::LogClient::AppendDone &OnDone);
  void land(const std::string &Node, const wire::LogRecord &Record,
            const catalogue::LogClient::AppendDone &Done, bool Answer);
  void read(const std::string &Node, const catalogue::ReadRequest &Request,
            const catalogue::LogClient::ReadDone &Done);
  void arrive(const Waiter &Reader);
  void answer(const Waiter &Reader);
  void wake();

  VirtualTime &m_Time;
  bool m_Out = false;
  base::Millis m_Delay{1};
  base::Millis m_LateDelay = base::seconds(5);
  base::Millis m_Retention{};
  std::uint64_t m_Oldest = 1;
  std::map<std::string, bool> m_Cut;
  std::map<std::string, std::deque<AppendFault>> m_Faults;
  std::vector<Stored> m_History;
  std::function<void(const wire::LogRecord &)> m_OnAppend;
  std::uint64_t m_NextWaiter = 1;
  std::map<std::uint64_t, Waiter> m_Waiters;
};

} // namespace corneldeck::fakes

#endif
