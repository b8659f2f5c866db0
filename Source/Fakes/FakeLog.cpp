#include "Fakes/FakeLog.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace corneldeck::fakes {

using catalogue::LogClient;
using catalogue::ReadRequest;

namespace {

/// A client gives an append up after this time.
constexpr base::Millis AppendTimeout = base::seconds(2);

} // namespace

LogClient FakeLog::client(const std::string &Node) {
  LogClient Client;
  Client.m_Append = [this, Node](const wire::LogRecord &Record,
                                 const LogClient::AppendDone &Done) {
    append(Node, Record, Done);
  };
  Client.m_Read = [this, Node](const ReadRequest &Request,
                               const LogClient::ReadDone &Done) {
    read(Node, Request, Done);
  };
  return Client;
}

void FakeLog::orderFault(const std::string &Node, AppendFault Fault) {
  m_Faults[Node].push_back(Fault);
}

AppendFault FakeLog::takeFault(const std::string &Node) {
  std::deque<AppendFault> &Ordered = m_Faults[Node];
  if (Ordered.empty())
    return AppendFault::None;
  const AppendFault First = Ordered.front();
  Ordered.pop_front();
  return First;
}

bool FakeLog::unreachable(const std::string &Node) const {
  const auto Found = m_Cut.find(Node);
  return m_Out || (Found != m_Cut.end() && Found->second);
}

void FakeLog::append(const std::string &Node, const wire::LogRecord &Record,
                     const LogClient::AppendDone &OnDone) {
  const auto Answered = std::make_shared<bool>(false);
  const LogClient::AppendDone Done = [Answered, OnDone](auto Result) {
    if (!std::exchange(*Answered, true))
      OnDone(std::move(Result));
  };
  m_Time.after(AppendTimeout, [Done] {
    Done(base::failure(base::ResultCode::Timeout, "no answer"));
  });
  const AppendFault Fault = takeFault(Node);
  if (Fault == AppendFault::Refuse) {
    m_Time.after(m_Delay, [Done] {
      Done(base::failure(base::ResultCode::ConnectionFailed, "refused"));
    });
    return;
  }
  if (Fault == AppendFault::LoseRequest)
    return;
  const bool Late = Fault == AppendFault::LandLate;
  const bool Answer = Fault == AppendFault::None;
  m_Time.after(Late ? m_LateDelay : m_Delay, [=, this] {
    if (Late || !unreachable(Node))
      land(Node, Record, Done, Answer);
  });
}

void FakeLog::land(const std::string &Node, const wire::LogRecord &Record,
                   const LogClient::AppendDone &Done, bool Answer) {
  const std::uint64_t Offset = appendNow(Record);
  if (!Answer)
    return;
  m_Time.after(m_Delay, [=, this] {
    if (!unreachable(Node))
      Done(Offset);
  });
}

std::uint64_t FakeLog::appendNow(const wire::LogRecord &Record) {
  m_History.push_back({Record, m_Time.now()});
  // A copy, since the hook may replace itself.
  if (const auto Hook = m_OnAppend)
    Hook(Record);
  wake();
  return m_History.size();
}

void FakeLog::expireUpTo(std::uint64_t Offset) {
  m_Oldest = std::max(m_Oldest, std::min(Offset + 1, next()));
}

void FakeLog::read(const std::string &Node, const ReadRequest &Request,
                   const LogClient::ReadDone &Done) {
  m_Time.after(m_Delay, [=, this] { arrive({Node, Request, Done}); });
}

void FakeLog::arrive(const Waiter &Reader) {
  if (unreachable(Reader.m_Node))
    return;
  const bool Nothing = Reader.m_Request.m_From >= next();
  if (!Nothing || Reader.m_Request.m_Wait == base::Millis(0)) {
    answer(Reader);
    return;
  }
  const std::uint64_t Id = m_NextWaiter++;
  m_Waiters[Id] = Reader;
  m_Time.after(Reader.m_Request.m_Wait, [this, Id] {
    const auto Found = m_Waiters.find(Id);
    if (Found == m_Waiters.end())
      return;
    const Waiter Ended = Found->second;
    m_Waiters.erase(Found);
    answer(Ended);
  });
}

void FakeLog::wake() {
  std::map<std::uint64_t, Waiter> Woken;
  Woken.swap(m_Waiters);
  for (const auto &[Id, Reader] : Woken)
    answer(Reader);
}

void FakeLog::answer(const Waiter &Reader) {
  while (m_Retention != base::Millis(0) && m_Oldest < next() &&
         m_History[m_Oldest - 1].m_At + m_Retention < m_Time.now())
    ++m_Oldest;
  catalogue::ReadResponse Result;
  Result.m_Oldest = m_Oldest;
  Result.m_Next = next();
  std::uint64_t Offset = std::max(Reader.m_Request.m_From, m_Oldest);
  while (Offset < next() &&
         Result.m_Records.size() < Reader.m_Request.m_Limit) {
    Result.m_Records.push_back({Offset, m_History[Offset - 1].m_Record});
    ++Offset;
  }
  // Shared, since an action may be copied.
  const auto Shared =
      std::make_shared<const catalogue::ReadResponse>(std::move(Result));
  m_Time.after(m_Delay, [this, Reader, Shared] {
    if (!unreachable(Reader.m_Node))
      Reader.m_Done(*Shared);
  });
}

} // namespace corneldeck::fakes
