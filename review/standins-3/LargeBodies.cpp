// Case 11: many callers send bodies of the size that the configuration allows.
#include "Standins.h"

using namespace review;

namespace {

constexpr int Replicas = 4;
constexpr int Callers = 36;
/// max-body-bytes of the small sites.
constexpr std::size_t LimitBytes = 4'194'304;
constexpr double Work = 2;

} // namespace

int main(int, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Record::open(Arguments[3]);
  Store Log;
  std::string Config =
      configuration(1, route("album", "/album/", "non_idempotent", "app", 8000),
                    R"({"name":"app","max-connections":110})");
  const std::string Before = R"("max-body-bytes":1048576)";
  Config.replace(Config.find(Before), Before.size(),
                 "\"max-body-bytes\":" + std::to_string(LimitBytes));
  Log.put("keyed.op", "config", Config);
  std::vector<std::unique_ptr<Server>> All;
  for (int Index = 1; Index <= Replicas; ++Index) {
    All.push_back(std::make_unique<Server>(
        "i-" + std::to_string(Index), "app",
        [](Server &, int Connection, const Message &Request) {
          sleepFor(Work);
          return sendAll(Connection, Server::response(Request, "stored"));
        }));
    Log.put("keyed.servers", All.back()->id(), All.back()->record());
  }
  Entry Node(Arguments[1], Arguments[2], "edge-1", Log);
  Node.waitUntilReady();
  sleepFor(1);
  const std::size_t BodyBytes = hasTrouble() ? LimitBytes : 600;
  const std::string Body(BodyBytes, 'b');
  std::mutex Lock;
  std::map<std::string, std::string> Results;
  std::vector<std::thread> Threads;
  for (int Caller = 1; Caller <= Callers; ++Caller) {
    Threads.emplace_back([&, Id = "photo-" + std::to_string(Caller)] {
      const int Socket = connectTo(Node.caller());
      std::string Result = "no connection";
      if (Socket >= 0) {
        sendAll(Socket, requestHead("POST", "/album/photo", Id, 8000) +
                            "Content-Length: " + std::to_string(BodyBytes) +
                            "\r\n\r\n" + Body);
        Reader Input(Socket);
        const auto Answer = Input.read(true, 9);
        Result = Answer ? std::to_string(Answer->status())
                        : "closed without an answer";
        ::close(Socket);
      }
      Record::line("caller of %s: %s", Id.c_str(), Result.c_str());
      const std::lock_guard Guard(Lock);
      Results[Id] = Result;
    });
    sleepFor(0.03);
  }
  for (std::thread &Each : Threads)
    Each.join();
  sleepFor(Work + 0.5);
  std::map<std::string, int> Runs;
  for (const auto &Each : All)
    for (const Server::Received &Run : Each->received())
      ++Runs[Run.m_Request.field("attempt-id")];
  int Lost = 0;
  std::map<std::string, int> Counts;
  for (const auto &[Id, Result] : Results) {
    ++Counts[Result + (Runs.contains(Id) ? ", has run" : ", has not run")];
    Lost += Runs.contains(Id) && Result == "closed without an answer" ? 1 : 0;
  }
  for (const auto &[Result, Count] : Counts)
    Record::line("%d requests: %s", Count, Result.c_str());
  Record::line("%d requests were passed on to sound servers and their "
               "connections closed without an answer (at most 3)",
               Lost);
  Record::line(Lost > 3 ? "BROKEN (LOST)" : "held");
  Node.end();
  if (!hasTrouble() && Counts["200, has run"] != Callers)
    return 2;
  return Lost > 3 ? 1 : 0;
}
