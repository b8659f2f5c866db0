// Case 13: callers whose bodies are framed by a transfer coding other than
// "chunked".
#include "Standins.h"

using namespace review;

namespace {

/// One caller: a POST whose body is itself the text of a request.
struct Caller {
  std::string m_Name;
  /// Header lines that frame the body; empty: its length.
  std::string m_Framing;
  bool m_InChunks = false;
};

int check(Server &Backend, const std::string &Address, const Caller &Sent,
          int Number) {
  const std::string Outer = "outer-" + std::to_string(Number);
  const std::string Inner = "inner-" + std::to_string(Number);
  const std::string Body = requestHead("POST", "/pay/transfer", Inner) +
                           "Content-Length: 9\r\n\r\namount=99";
  std::string Framed = Body;
  std::string Head = requestHead("POST", "/pay/note", Outer);
  if (Sent.m_Framing.empty())
    Head += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  else
    Head += Sent.m_Framing + "\r\n";
  if (Sent.m_InChunks) {
    char Size[32];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Body.size());
    Framed = Size + Body + "\r\n0\r\n\r\n";
  }
  const std::size_t Before = Backend.received().size();
  Record::line(
      "caller %s sends one request: id=%s, body of %zu bytes, %s",
      Sent.m_Name.c_str(), Outer.c_str(), Body.size(),
      Sent.m_Framing.empty()
          ? "Content-Length"
          : Sent.m_Framing.substr(0, Sent.m_Framing.find('\r')).c_str());
  const int Socket = connectTo(Address);
  if (Socket < 0)
    giveUp("no connection to the entry");
  sendAll(Socket, Head + Framed);
  Reader Input(Socket);
  while (const auto Answer = Input.read(true, 1.5))
    Record::line("caller %s gets    \"%s\" for id=%s", Sent.m_Name.c_str(),
                 Answer->m_Line.c_str(), Answer->field("attempt-id").c_str());
  ::close(Socket);
  int Broken = 0;
  const auto Received = Backend.received();
  for (std::size_t At = Before; At < Received.size(); ++At) {
    const Message &Run = Received[At].m_Request;
    const std::string Id = Run.field("attempt-id");
    if (Id != Outer) {
      Record::line("BROKEN (UNASKED): id %s ran; it was inside the body of %s",
                   Id.c_str(), Outer.c_str());
      ++Broken;
    } else if (Run.m_Body != Body) {
      Record::line("BROKEN (UNASKED): %s ran with a body of %zu bytes; sent "
                   "were %zu",
                   Id.c_str(), Run.m_Body.size(), Body.size());
      ++Broken;
    }
  }
  return Broken;
}

} // namespace

int main(int, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string Program = Arguments[1];
  const std::string Folder = Arguments[2];
  Record::open(Arguments[3]);
  Store Log;
  Server Backend("i-1", "app");
  Log.put("keyed.op", "config",
          configuration(1, route("pay", "/pay/", "non_idempotent", "app"),
                        R"({"name":"app","max-connections":110})"));
  Log.put("keyed.servers", Backend.id(), Backend.record());
  Entry Node(Program, Folder, "edge-1", Log);
  Node.waitUntilReady();
  sleepFor(0.5);
  int Broken = check(Backend, Node.caller(), {"length", "", false}, 1);
  Broken += check(Backend, Node.caller(),
                  {"chunks", "Transfer-Encoding: chunked\r\n", true}, 2);
  if (Backend.received().size() != 2)
    giveUp("the ordinary requests were not served");
  if (hasTrouble()) {
    Broken += check(Backend, Node.caller(),
                    {"gzip", "Transfer-Encoding: gzip\r\n", false}, 3);
    Broken += check(Backend, Node.caller(),
                    {"identity", "Transfer-Encoding: identity\r\n", false}, 4);
    Broken +=
        check(Backend, Node.caller(),
              {"not-last", "Transfer-Encoding: chunked, gzip\r\n", true}, 5);
  }
  Record::line("%d breaks of UNASKED", Broken);
  Node.end();
  return Broken > 0 ? 1 : 0;
}
