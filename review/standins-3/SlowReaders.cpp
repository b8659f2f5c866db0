// Case 11: callers that read their answers slowly, for longer than the idle
// timeout of the configuration.
#include "Standins.h"

using namespace review;

namespace {

constexpr int Callers = 6;
constexpr std::size_t BodyBytes = 8'000'000;
constexpr double BytesPerSecond = 150'000;
constexpr int DeadlineMs = 60'000;

struct Outcome {
  std::size_t m_Bytes = 0;
  int m_Status = 0;
  double m_Seconds = 0;
  bool m_IsClosedByEntry = false;
};

Outcome readSlowly(const std::string &Address, const std::string &Id,
                   bool IsSlow) {
  Outcome Read;
  const int Socket = connectTo(Address);
  if (Socket < 0)
    giveUp("no connection to the entry");
  const int Buffer = 65536;
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Buffer, sizeof(Buffer));
  const double Begin = seconds();
  Record::line("caller sends POST /album/page id=%s, and reads %s", Id.c_str(),
               IsSlow ? "150 KB/s" : "as fast as it can");
  sendAll(Socket, requestHead("POST", "/album/page", Id, DeadlineMs) +
                      "Content-Length: 2\r\n\r\nhi");
  std::string Head;
  std::size_t HeadBytes = 0;
  std::size_t Total = 0;
  std::vector<char> Bytes(40'000);
  while (seconds() - Begin < DeadlineMs / 1000.0) {
    pollfd Poll{Socket, POLLIN, 0};
    if (::poll(&Poll, 1, 1000) <= 0)
      continue;
    const ssize_t Count = ::recv(Socket, Bytes.data(), Bytes.size(), 0);
    if (Count <= 0) {
      Read.m_IsClosedByEntry = true;
      break;
    }
    Total += static_cast<std::size_t>(Count);
    if (HeadBytes == 0) {
      Head.append(Bytes.data(), static_cast<std::size_t>(Count));
      if (const auto End = Head.find("\r\n\r\n"); End != std::string::npos)
        HeadBytes = End + 4;
    }
    if (HeadBytes > 0 && Total - HeadBytes >= BodyBytes)
      break;
    const double Due = Begin + static_cast<double>(Total) / BytesPerSecond;
    if (IsSlow && Due > seconds())
      sleepFor(Due - seconds());
  }
  ::close(Socket);
  Read.m_Seconds = seconds() - Begin;
  Read.m_Bytes = Total - std::min(Total, HeadBytes);
  Read.m_Status = Head.size() > 12 ? std::atoi(Head.c_str() + 9) : 0;
  Record::line("caller of %s gets %d with %zu of %zu bytes of the body; %s "
               "after %.1f s",
               Id.c_str(), Read.m_Status, Read.m_Bytes, BodyBytes,
               Read.m_IsClosedByEntry ? "the entry closes" : "done",
               Read.m_Seconds);
  return Read;
}

} // namespace

int main(int, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record::open(Arguments[3]);
  Store Log;
  Server Backend(
      "i-1", "app", [](Server &, int Connection, const Message &Request) {
        return sendAll(Connection,
                       Server::response(Request, std::string(BodyBytes, 'b')));
      });
  // The limits are those of the small sites; idle-timeout-ms is 15,000.
  Log.put("keyed.op", "config",
          configuration(1,
                        route("album", "/album/", "non_idempotent", "app",
                              DeadlineMs, R"(,"public":true)"),
                        R"({"name":"app","max-connections":110})"));
  Log.put("keyed.servers", Backend.id(), Backend.record());
  Entry Node(Arguments[1], Arguments[2], "edge-1", Log);
  Node.waitUntilReady();
  sleepFor(0.5);
  const Outcome Usual = readSlowly(Node.caller(), "usual", false);
  if (Usual.m_Status != 200 || Usual.m_Bytes != BodyBytes)
    giveUp("the ordinary request was not served");
  std::vector<Outcome> Outcomes(Callers);
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < Callers; ++Index)
    Threads.emplace_back([&, Index] {
      // One after the other: together they would need more than the memory for
      // responses.
      sleepFor(0.5 * Index);
      Outcomes[static_cast<std::size_t>(Index)] = readSlowly(
          Node.caller(), "reader-" + std::to_string(Index + 1), hasTrouble());
    });
  for (std::thread &Each : Threads)
    Each.join();
  int Lost = 0;
  for (const Outcome &Each : Outcomes)
    Lost += Each.m_IsClosedByEntry && Each.m_Bytes < BodyBytes ? 1 : 0;
  Record::line("%zu requests ran at the server, %d connections were closed by "
               "the entry before the answer was whole (at most 3)",
               Backend.received().size(), Lost);
  Record::line(Lost > 3 ? "BROKEN (LOST)" : "held");
  Node.end();
  return Lost > 3 ? 1 : 0;
}
