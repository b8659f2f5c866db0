// Case 14: a part of prompts that ends replicas, in lists on two header lines.
#include "Standins.h"

using namespace review;

namespace {

constexpr int Replicas = 4;
constexpr double RestartTime = 2.5;
constexpr double StableWindow = 3;
/// Seconds with sound requests only, and with fatal ones beside them.
constexpr double Before = 8;
constexpr double During = 34;
const std::string FatalId = "bad5eed0";

// The replica, a process of its own: it ends as it begins to write the answer
// to a request with the fatal part.

std::vector<std::string> partsOf(const Message &Request) {
  std::vector<std::string> Parts;
  const auto [From, To] = Request.m_Fields.equal_range("prefix-hash");
  for (auto Line = From; Line != To; ++Line) {
    std::string Rest = Line->second;
    while (!Rest.empty()) {
      std::string Part = Rest.substr(0, Rest.find(','));
      Rest.erase(0, Part.size() + 1);
      while (!Part.empty() && Part.front() == ' ')
        Part.erase(0, 1);
      Parts.push_back(Part.substr(0, Part.find(':')));
    }
  }
  if (!Parts.empty())
    Parts.pop_back();
  return Parts;
}

void serveStream(int Connection) {
  Reader Input(Connection);
  while (const auto Request = Input.read(false)) {
    const std::string Id = Request->field("attempt-id");
    const auto Parts = partsOf(*Request);
    const bool IsFatal =
        std::find(Parts.begin(), Parts.end(), FatalId) != Parts.end();
    std::printf("%s %s\n", IsFatal ? "fatal" : "sound", Id.c_str());
    std::fflush(stdout);
    sleepFor(0.03);
    if (IsFatal)
      ::_exit(1);
    bool IsOpen =
        sendAll(Connection, "HTTP/1.1 200 OK\r\nAttempt-Id: " + Id +
                                "\r\nResponse-Signature: sig-" + Id +
                                "\r\nContent-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n");
    for (int Event = 1; Event <= 5 && IsOpen; ++Event) {
      const std::string Text =
          "id: " + std::to_string(Event) + "\ndata: token\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Text.size());
      IsOpen = sendAll(Connection, Size + Text + "\r\n");
      sleepFor(0.03);
    }
    if (!IsOpen || !sendAll(Connection, "0\r\n\r\n"))
      break;
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
      std::thread([Connection] { serveStream(Connection); }).detach();
  }
}

/// Starts the process of a replica again and again, and registers each start.
class Replica {
public:
  Replica(std::string Program, std::string Id, Store &Log)
      : m_Program(std::move(Program)), m_Id(std::move(Id)), m_Log(Log),
        m_Address("127.0.0.1:" + std::to_string(freePort("127.0.0.1"))) {
    m_Thread = std::thread([this] { run(); });
  }
  void end() {
    m_IsEnding = true;
    if (const pid_t Process = m_Process; Process > 0)
      ::kill(Process, SIGKILL);
    m_Thread.join();
  }

  static std::mutex m_Lock;
  /// When replicas ended by themselves.
  static std::vector<double> m_Ends;
  /// When requests with the fatal part arrived.
  static std::vector<double> m_Fatal;

private:
  void run() {
    while (!m_IsEnding) {
      int Pipe[2];
      if (::pipe2(Pipe, O_CLOEXEC) != 0)
        return;
      const pid_t Process = ::fork();
      if (Process == 0) {
        ::dup2(Pipe[1], 1);
        ::execl(m_Program.c_str(), m_Program.c_str(), "--server",
                m_Address.c_str(), nullptr);
        ::_exit(127);
      }
      m_Process = Process;
      ::close(Pipe[1]);
      sleepFor(0.1);
      m_Log.put("keyed.servers", m_Id,
                R"({"backend":"llm","address":")" + m_Address +
                    R"(","zone":"a","version":1,"capacity":12,)"
                    R"("lifecycle-state":"ready","warmup-remaining-ms":0,)"
                    R"("sequence":1,"born":)" +
                    std::to_string(wallMillis()) + "}");
      FILE *Lines = ::fdopen(Pipe[0], "r");
      char Line[512];
      while (std::fgets(Line, sizeof(Line), Lines)) {
        Line[std::strcspn(Line, "\n")] = 0;
        Record::line("replica %s gets a %s", m_Id.c_str(), Line);
        if (std::strncmp(Line, "fatal", 5) == 0) {
          const std::lock_guard Guard(m_Lock);
          m_Fatal.push_back(seconds());
        }
      }
      std::fclose(Lines);
      ::waitpid(Process, nullptr, 0);
      m_Process = -1;
      if (m_IsEnding)
        return;
      Record::line("replica %s ends", m_Id.c_str());
      {
        const std::lock_guard Guard(m_Lock);
        m_Ends.push_back(seconds());
      }
      sleepFor(RestartTime);
    }
  }

  const std::string m_Program;
  const std::string m_Id;
  Store &m_Log;
  const std::string m_Address;
  std::atomic<pid_t> m_Process = -1;
  std::atomic<bool> m_IsEnding = false;
  std::thread m_Thread;
};

std::mutex Replica::m_Lock;
std::vector<double> Replica::m_Ends;
std::vector<double> Replica::m_Fatal;

struct Outcome {
  double m_At = 0;
  bool m_HasBegun = false;
};

/// Sends one request and reads its answer.
bool call(const std::string &Address, const std::string &Id,
          const std::string &Parts) {
  const int Socket = connectTo(Address);
  if (Socket < 0)
    return false;
  sendAll(Socket, requestHead("POST", "/draft/1", Id, 8000) +
                      "Model: m\r\nToken-Usage: 1460,80\r\n" + Parts +
                      "Content-Length: 2\r\n\r\nhi");
  Reader Input(Socket);
  const auto Answer = Input.read(true, 8);
  ::close(Socket);
  const int Status = Answer ? Answer->status() : 0;
  Record::line("caller: %s: %s", Id.c_str(),
               Answer ? std::to_string(Status).c_str() : "no whole answer");
  return Status == 200;
}

double shareBegun(const std::vector<Outcome> &All, double From, double To,
                  int &Count) {
  int Begun = 0;
  Count = 0;
  for (const Outcome &Each : All)
    if (Each.m_At >= From && Each.m_At < To) {
      ++Count;
      Begun += Each.m_HasBegun ? 1 : 0;
    }
  return Count == 0 ? 0 : static_cast<double>(Begun) / Count;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count == 3 && std::string(Arguments[1]) == "--server")
    return serverMain(Arguments[2]);
  Record::open(Arguments[3]);
  // PLAIN=1 writes the same lists on one line.
  const bool IsPlain = std::getenv("PLAIN") != nullptr;
  Store Log;
  Log.put("keyed.op", "config",
          configuration(1,
                        route("draft", "/draft/", "streaming", "llm", 8000,
                              R"(,"resumable":true,"session-affinity":true)"
                              R"(,"itl-target-ms":120)"),
                        R"({"name":"llm","max-connections":358})"));
  std::vector<std::unique_ptr<Replica>> All;
  for (int Index = 0; Index < Replicas; ++Index)
    All.push_back(std::make_unique<Replica>(
        Arguments[0], "i-" + std::to_string(Index + 1), Log));
  sleepFor(0.5);
  Entry Node(Arguments[1], Arguments[2], "edge-1", Log);
  Node.waitUntilReady();
  sleepFor(1);
  std::mutex Lock;
  std::vector<Outcome> Sound;
  std::vector<std::thread> Calls;
  const double Begin = seconds();
  const double End = Begin + Before + During;
  std::thread Fatal([&] {
    sleepFor(Before);
    for (int Number = 1; hasTrouble() && seconds() < End; ++Number) {
      char Own[16];
      std::snprintf(Own, sizeof(Own), "%x", 0x5000 + Number);
      const std::string Last = std::string(Own) + ":250\r\n";
      const std::string Parts = "Prefix-Hash: 5c1e07a2:40," + FatalId + ":800" +
                                (IsPlain ? "," : "\r\nPrefix-Hash: ") + Last;
      const std::string Id = "fatal-" + std::to_string(Number);
      std::thread([Address = Node.caller(), Id, Parts] {
        call(Address, Id, Parts);
      }).detach();
      sleepFor(0.5);
    }
  });
  for (int Number = 1; seconds() < End; ++Number) {
    char Own[16];
    std::snprintf(Own, sizeof(Own), "%x", 0x9000 + Number);
    Calls.emplace_back(
        [&, Number,
         Parts = "Prefix-Hash: 5c1e07a2:40," + std::string(Own) + ":250\r\n"] {
          const double At = seconds();
          const bool HasBegun =
              call(Node.caller(), "sound-" + std::to_string(Number), Parts);
          const std::lock_guard Guard(Lock);
          Sound.push_back({At, HasBegun});
        });
    sleepFor(0.1);
  }
  for (std::thread &Each : Calls)
    Each.join();
  Fatal.join();
  int Broken = 0;
  const auto &Ends = Replica::m_Ends;
  int Outside = 0;
  const double ShareOutside = shareBegun(Sound, Begin, Begin + Before, Outside);
  Record::line("%zu replicas ended; %d sound requests before the first: %.2f "
               "of them served",
               Ends.size(), Outside, ShareOutside);
  if (ShareOutside < 0.9)
    giveUp("the sound requests were not served before the disruption");
  if (!Ends.empty()) {
    const double Fifth = Ends[std::min<std::size_t>(4, Ends.size() - 1)];
    int Late = 0;
    for (const double Each : Replica::m_Fatal)
      Late += Each > Fifth + StableWindow ? 1 : 0;
    int Inside = 0;
    const double Share =
        shareBegun(Sound, Fifth + 2 * StableWindow, End, Inside);
    Record::line("%d requests with the fatal part reached replicas later than "
                 "%.0f s after the fifth end (at most 3)",
                 Late, StableWindow);
    Record::line(
        "%d sound requests from %.0f s after the fifth end on: %.2f of "
        "them served (at least %.2f)",
        Inside, 2 * StableWindow, Share, ShareOutside / 2);
    if (Late > 3) {
      Record::line("BROKEN (BUDGET)");
      ++Broken;
    }
    if (Inside >= 20 && Share < ShareOutside / 2) {
      Record::line("BROKEN (LOST)");
      ++Broken;
    }
  }
  Record::line("%d rules broken", Broken);
  for (const auto &Each : All)
    Each->end();
  Node.end();
  // Threads of calls may still wait; everything that was started has ended.
  ::_exit(Broken > 0 ? 1 : 0);
}
