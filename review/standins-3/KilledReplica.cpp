// Case 12: a replica is killed while it writes an answer that has neither a
// length nor chunks.
#include "Standins.h"

using namespace review;

namespace {

constexpr int Pieces = 20;
constexpr double PieceTime = 0.05;
constexpr double KillAfter = 0.5;
constexpr int Rounds = 4;

// The replica, a process of its own.

std::string piece(bool IsStream, int Number) {
  return IsStream ? "id: " + std::to_string(Number) + "\ndata: token " +
                        std::to_string(Number) + " of " +
                        std::to_string(Pieces) + "\n\n"
                  : "line " + std::to_string(Number) + " of " +
                        std::to_string(Pieces) + "\n";
}

void answer(int Connection) {
  Reader Input(Connection);
  if (const auto Request = Input.read(false)) {
    const std::string Id = Request->field("attempt-id");
    const bool IsStream = Request->target().starts_with("/draft/");
    std::printf("%s\n", Id.c_str());
    std::fflush(stdout);
    sendAll(Connection, "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
                            "\r\nResponse-Signature: sig-" + Id +
                            "\r\nContent-Type: " +
                            (IsStream ? "text/event-stream" : "text/plain") +
                            "\r\nConnection: close\r\n\r\n");
    for (int Number = 1; Number <= Pieces; ++Number) {
      if (!sendAll(Connection, piece(IsStream, Number)))
        break;
      sleepFor(PieceTime);
    }
  }
  ::close(Connection);
}

int serverMain(const std::string &Address) {
  std::string Bound;
  const int Socket =
      listenOn(Address.substr(0, Address.rfind(':')), Bound, Address);
  for (;;) {
    const int Connection = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Connection >= 0)
      std::thread([Connection] { answer(Connection); }).detach();
  }
}

/// One start of a replica under an id and an address of its own.
class Replica {
public:
  Replica(const char *Program, const std::string &Id, Store &Log) : m_Id(Id) {
    const std::string Address =
        "127.0.0.1:" + std::to_string(freePort("127.0.0.1"));
    int Pipe[2];
    if (::pipe2(Pipe, O_CLOEXEC) != 0)
      giveUp("no pipe");
    m_Process = ::fork();
    if (m_Process == 0) {
      ::dup2(Pipe[1], 1);
      ::execl(Program, Program, "--server", Address.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(Pipe[1]);
    m_Lines = Pipe[0];
    sleepFor(0.2);
    Log.put("keyed.servers", Id,
            R"({"backend":"app","address":")" + Address +
                R"(","zone":"a","version":1,"capacity":12,)"
                R"("lifecycle-state":"ready","warmup-remaining-ms":0,)"
                R"("sequence":1,"born":)" +
                std::to_string(wallMillis()) + "}");
    // The entry reads the list every half second.
    sleepFor(1.2);
  }
  /// Kills the process some time after it has begun the next answer.
  void killDuringAnswer() {
    pollfd Poll{m_Lines, POLLIN, 0};
    if (::poll(&Poll, 1, 5000) != 1)
      giveUp("the request did not reach the replica");
    char Line[256];
    const ssize_t Count = ::read(m_Lines, Line, sizeof(Line) - 1);
    Line[std::max<ssize_t>(Count - 1, 0)] = 0;
    Record::line("replica %s begins to answer %s", m_Id.c_str(), Line);
    if (!hasTrouble())
      return;
    sleepFor(KillAfter);
    Record::line("replica %s is killed (SIGKILL)", m_Id.c_str());
    ::kill(m_Process, SIGKILL);
  }
  void end(Store &Log) {
    ::kill(m_Process, SIGKILL);
    ::waitpid(m_Process, nullptr, 0);
    ::close(m_Lines);
    Log.put("keyed.servers", m_Id, std::nullopt);
    sleepFor(1.2);
  }

private:
  const std::string m_Id;
  pid_t m_Process = -1;
  int m_Lines = -1;
};

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count == 3 && std::string(Arguments[1]) == "--server")
    return serverMain(Arguments[2]);
  Record::open(Arguments[3]);
  Store Log;
  Log.put("keyed.op", "config",
          configuration(
              1,
              route("note", "/note/", "non_idempotent", "app", 4000) + "," +
                  route("draft", "/draft/", "streaming", "app", 8000,
                        R"(,"itl-target-ms":120,"session-affinity":true)"),
              R"({"name":"app","max-connections":110})"));
  Entry Node(Arguments[1], Arguments[2], "edge-1", Log);
  sleepFor(0.5);
  int Mixed = 0;
  int Order = 0;
  int Whole = 0;
  for (int Round = 1; Round <= Rounds; ++Round)
    for (const bool IsStream : {false, true}) {
      const std::string Id =
          (IsStream ? "draft-" : "note-") + std::to_string(Round);
      Replica Server(Arguments[0], "i-" + Id, Log);
      if (Round == 1 && !IsStream)
        Node.waitUntilReady();
      std::optional<Message> Answer;
      std::thread Caller([&] {
        const int Socket = connectTo(Node.caller());
        sendAll(Socket, requestHead("POST", IsStream ? "/draft/1" : "/note/1",
                                    Id, 4000) +
                            "Content-Length: 2\r\n\r\nhi");
        Reader Input(Socket);
        // Nothing, unless the answer is complete by its length or chunks.
        Answer = Input.read(true, 5);
        ::close(Socket);
      });
      Server.killDuringAnswer();
      Caller.join();
      Server.end(Log);
      const int Status = Answer ? Answer->status() : 0;
      std::string Expected;
      for (int Number = 1; Number <= Pieces; ++Number)
        Expected += piece(IsStream, Number);
      const bool IsWhole = Answer && Answer->m_Body == Expected;
      const bool HasEnd =
          Answer && (Answer->m_Fields.contains("content-length") ||
                     Answer->m_Fields.contains("transfer-encoding"));
      Record::line("caller of %s gets %s, %d, %zu of %zu bytes, signature %s",
                   Id.c_str(), HasEnd ? "a complete answer" : "no whole answer",
                   Status, Answer ? Answer->m_Body.size() : 0, Expected.size(),
                   Answer ? Answer->field("response-signature").c_str() : "-");
      Whole += Status == 200 && IsWhole ? 1 : 0;
      if (Status == 200 && HasEnd && !IsWhole)
        ++(IsStream ? Order : Mixed);
    }
  Record::line("%d whole answers; %d cut answers that look complete, %d cut "
               "streams that end as complete",
               Whole, Mixed, Order);
  if (Mixed > 0)
    Record::line("BROKEN (MIXED)");
  if (Order > 0)
    Record::line("BROKEN (ORDER)");
  Node.end();
  if (!hasTrouble() && Whole != 2 * Rounds)
    return 2;
  return Mixed + Order > 0 ? 1 : 0;
}
