// Clients that send a request on a kept connection before the answer to the
// one before has come. See review/1/claim.txt.
//
// usage: Pipelined RECORD pairs|users

#include "CaseWorld.h"
#include "RawServer.h"

#include "Base/Random.h"
#include "Net/Endpoint.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <iostream>
#include <map>

using namespace corneldeck;
using namespace corneldeck::review;
using nlohmann::json;
namespace asio = boost::asio;

namespace {

constexpr int Entries = 3;
constexpr int Replicas = 3;
/// Connections that are used one after the other.
constexpr int Rounds = 24;
constexpr base::Millis WorkTime{60};
/// Connections that users share, and how often each of these has a request.
constexpr int UserConnections = 6;
constexpr base::Millis UserTime = base::seconds(20);
constexpr base::Millis Tick{10};
constexpr double ArrivalsPerTick = 0.05;
constexpr double PostShare = 0.3;
constexpr base::Millis StableWindow = base::seconds(3);
constexpr base::Millis Deadline{4000};

/// A request and the answer that came in its place on the connection.
struct Asked {
  std::string m_Id;
  bool m_IsPost = false;
  bool m_IsAnswered = false;
  int m_Status = 0;
  std::string m_AnswerId;
  std::string m_Signature;
  std::string m_Body;
};

/// A kept connection. Answers belong to the requests in their order.
class Client {
public:
  Client(CaseWorld &World, int Entry)
      : m_World(World), m_Entry(Entry), m_Socket(World.m_Loop) {
    m_Socket.connect(*net::parseEndpoint(World.callerAddress(Entry)));
    read();
  }

  /// Sends requests in one write.
  void send(const std::vector<Asked> &Requests) {
    std::string Bytes;
    for (const Asked &Each : Requests) {
      m_Asked.push_back(Each);
      const std::string Body = Each.m_IsPost ? "pay " + Each.m_Id : "";
      Bytes +=
          std::string(Each.m_IsPost ? "POST /pay/now" : "GET /status/now") +
          " HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: " + Each.m_Id +
          "\r\nDeadline-Ms: " + std::to_string(Deadline.count()) +
          "\r\nAuthorization: Token k\r\n" +
          (Each.m_IsPost
               ? "Content-Length: " + std::to_string(Body.size()) + "\r\n"
               : "") +
          "\r\n" + Body;
      m_World.record("sent " + Each.m_Id + " entry " + std::to_string(m_Entry) +
                     (Each.m_IsPost ? " POST /pay/now" : " GET /status/now"));
    }
    asio::write(m_Socket, asio::buffer(Bytes));
  }

  /// Waits until all requests are answered.
  void waitForAll() {
    const base::Millis End = m_World.now() + Deadline + base::seconds(1);
    while (m_World.now() < End && m_IsOpen && !isAllAnswered())
      m_World.runFor(base::Millis(5));
  }

  [[nodiscard]] const std::vector<Asked> &asked() const { return m_Asked; }
  [[nodiscard]] bool isAllAnswered() const {
    return m_Answered == m_Asked.size();
  }
  [[nodiscard]] bool isOpen() const { return m_IsOpen; }

private:
  void read() {
    m_Socket.async_read_some(
        asio::buffer(m_Piece),
        [this](const boost::system::error_code &Code, std::size_t Count) {
          if (Code == asio::error::operation_aborted)
            return;
          m_Input.append(m_Piece.data(), Count);
          while (takeAnswer()) {
          }
          if (Code)
            m_IsOpen = false;
          else
            read();
        });
  }

  bool takeAnswer() {
    const std::size_t HeadEnd = m_Input.find("\r\n\r\n");
    if (HeadEnd == std::string::npos || m_Answered == m_Asked.size())
      return false;
    const std::string Head = m_Input.substr(0, HeadEnd + 2);
    const std::string Length = field(Head, "Content-Length");
    const std::size_t Size = Length.empty() ? 0 : std::stoul(Length);
    if (m_Input.size() < HeadEnd + 4 + Size)
      return false;
    Asked &Of = m_Asked[m_Answered++];
    Of.m_IsAnswered = true;
    Of.m_Status = std::stoi(Head.substr(Head.find(' ') + 1));
    Of.m_AnswerId = field(Head, "Attempt-Id");
    Of.m_Signature = field(Head, "Response-Signature");
    Of.m_Body = m_Input.substr(HeadEnd + 4, Size);
    m_Input.erase(0, HeadEnd + 4 + Size);
    m_World.record("answer to " + Of.m_Id + ": status " +
                   std::to_string(Of.m_Status) + " Attempt-Id " +
                   Of.m_AnswerId + " " + Of.m_Body.substr(0, 60));
    return true;
  }

  static std::string field(const std::string &Head, const std::string &Name) {
    const std::size_t At = Head.find("\r\n" + Name + ": ");
    if (At == std::string::npos)
      return {};
    const std::size_t Begin = At + Name.size() + 4;
    return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
  }

  CaseWorld &m_World;
  const int m_Entry;
  asio::ip::tcp::socket m_Socket;
  std::array<char, 16384> m_Piece{};
  std::string m_Input;
  std::vector<Asked> m_Asked;
  std::size_t m_Answered = 0;
  bool m_IsOpen = true;
};

using Clients = std::vector<std::unique_ptr<Client>>;
using MakeRequest = std::function<Asked(bool IsPost)>;

/// On each connection one request, two at the same moment, and one.
void playPairs(CaseWorld &World, const MakeRequest &Next, Clients &All) {
  for (int Round = 0; Round < Rounds; ++Round) {
    Client &Used =
        *All.emplace_back(std::make_unique<Client>(World, Round % Entries));
    // A status look-up, alone.
    Used.send({Next(false)});
    Used.waitForAll();
    // A status look-up, and a request of a second user at the same time: in odd
    // rounds a look-up too, in even ones one that must not run twice.
    const bool IsPost = Round % 2 == 0;
    const Asked First = Next(false);
    const Asked Second = Next(IsPost);
    if (hasTrouble()) {
      Used.send({First, Second});
    } else {
      Used.send({First});
      Used.waitForAll();
      Used.send({Second});
    }
    Used.waitForAll();
    // Then one that is alone again.
    Used.send({Next(IsPost)});
    Used.waitForAll();
  }
}

/// Users whose requests come at random share a few connections. Nothing is sent
/// after a request that isn't idempotent before its answer has come.
void playUsers(CaseWorld &World, const MakeRequest &Next, Clients &All) {
  base::Random Rng(7);
  std::vector<std::vector<Asked>> Waiting(UserConnections);
  for (int Index = 0; Index < UserConnections; ++Index)
    All.push_back(std::make_unique<Client>(World, Index % Entries));
  const base::Millis End = World.now() + UserTime;
  while (World.now() < End) {
    for (std::size_t Index = 0; Index < Waiting.size(); ++Index) {
      if (Rng.chance(ArrivalsPerTick))
        Waiting[Index].push_back(Next(Rng.chance(PostShare)));
      Client &Used = *All[Index];
      const bool MaySend = Used.isAllAnswered() ||
                           (hasTrouble() && !Used.asked().back().m_IsPost);
      if (Waiting[Index].empty() || !MaySend || !Used.isOpen())
        continue;
      Used.send({Waiting[Index].front()});
      Waiting[Index].erase(Waiting[Index].begin());
    }
    World.runFor(Tick);
  }
  for (const auto &Each : All)
    Each->waitForAll();
}

json route(const std::string &Prefix, const std::string &Type) {
  return {{"name", Prefix},        {"hostname", "x.example"},
          {"path-prefix", Prefix}, {"type", Type},
          {"timeout-ms", 4000},    {"target-latency-ms", 300},
          {"priority", 2},         {"backend", "svc"},
          {"max-attempts", 2},     {"public", false}};
}

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return static_cast<int>(Verdict::CouldNotRun);
  CaseWorld World(Words[1]);
  std::map<std::string, int> Runs;
  std::vector<std::unique_ptr<RawServer>> Servers;
  for (int Index = 0; Index < Replicas; ++Index) {
    const std::string Name = "i-" + std::to_string(Index);
    auto &Added = Servers.emplace_back(std::make_unique<RawServer>(
        World.m_Loop,
        [&World, &Runs, Name](const RawServer::ConnectionPtr &From,
                              const RawRequest &Request) {
          const std::string Id = Request.m_Fields.at("Attempt-Id");
          ++Runs[Id];
          World.record("run " + Id + " at " + Name + " " +
                       Request.m_Line.substr(0, Request.m_Line.find(" HTTP")) +
                       " " + Request.m_Body);
          World.after(WorkTime, [From, Id, Name] {
            From->send(rawResponse(200,
                                   "Attempt-Id: " + Id +
                                       "\r\nResponse-Signature: " + Name + "." +
                                       Id + "\r\n",
                                   "result of " + Id),
                       [From] { From->read(); });
          });
        }));
    const json Entry = {{"backend", "svc"},
                        {"address", Added->listen()},
                        {"zone", "a"},
                        {"capacity", 6},
                        {"version", "v1"},
                        {"lifecycle-state", "ready"},
                        {"sequence", 1},
                        {"warmup-remaining-ms", 0},
                        {"born", 1'790'000'000'000 + Index}};
    World.m_Store.put("keyed.servers", Name, Entry.dump());
  }
  World.publish(
      {{"version", 1},
       {"routes",
        {route("/pay/", "non_idempotent"), route("/status/", "idempotent")}},
       {"backends",
        {{{"name", "svc"},
          {"health-check-path", "/healthz"},
          {"max-connections", 110}}}},
       {"limits",
        {{"max-header-bytes", 16384},
         {"max-body-bytes", 4194304},
         {"header-timeout-ms", 3000},
         {"idle-timeout-ms", 15000}}},
       {"tenants", {{{"name", "c"}, {"api-keys", {"k"}}}}}});
  World.startEntries(Entries);
  if (!World.waitUntilReady(base::seconds(20)))
    return static_cast<int>(Verdict::CouldNotRun);
  World.runFor(StableWindow);

  int Number = 1000;
  std::vector<std::unique_ptr<Client>> Clients;
  const auto Next = [&Number](bool IsPost) {
    Asked New;
    New.m_Id = "9c41d07be2a3" + std::to_string(++Number);
    New.m_IsPost = IsPost;
    return New;
  };
  if (Words[2] == std::string("users"))
    playUsers(World, Next, Clients);
  else
    playPairs(World, Next, Clients);

  int Foreign = 0;
  int Unanswered = 0;
  int Failed = 0;
  int Right = 0;
  int NeverRun = 0;
  int Twice = 0;
  int Total = 0;
  for (const auto &Each : Clients)
    for (const Asked &Of : Each->asked()) {
      ++Total;
      const bool IsSuccess = Of.m_Status >= 200 && Of.m_Status < 300;
      if (!Of.m_IsAnswered)
        ++Unanswered;
      else if (!IsSuccess)
        ++Failed;
      else if (IsSuccess && (Of.m_AnswerId != Of.m_Id ||
                             Of.m_Body != "result of " + Of.m_Id))
        ++Foreign;
      else if (IsSuccess)
        ++Right;
      if (!Runs.contains(Of.m_Id))
        ++NeverRun;
      if (Of.m_IsPost && Runs[Of.m_Id] > 1)
        ++Twice;
    }
  const std::string Line =
      std::to_string(Total) + " requests: " + std::to_string(Right) +
      " got their answer, " + std::to_string(Foreign) +
      " got the answer of another request (MIXED), " + std::to_string(Failed) +
      " got a failure, " + std::to_string(Unanswered) + " got none; " +
      std::to_string(NeverRun) + " never ran; " + std::to_string(Twice) +
      " that are not idempotent ran twice (TWICE)";
  World.record(Line);
  std::cout << Line << '\n';
  if (Right < Total / 4)
    return static_cast<int>(Verdict::CouldNotRun);
  return static_cast<int>(Foreign == 0 && Twice == 0 ? Verdict::Held
                                                     : Verdict::Broken);
}
