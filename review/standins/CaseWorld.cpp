#include "CaseWorld.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace corneldeck::review {

namespace {

constexpr const char *EntryProgram = "target/bin/corneldeck-platform-entry";

std::string portOf(const std::string &Address) {
  return Address.substr(Address.rfind(':') + 1);
}

} // namespace

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

Child::Child(std::vector<std::string> Words, std::string LogPath)
    : m_Words(std::move(Words)), m_LogPath(std::move(LogPath)) {}

Child::~Child() {
  if (!isRunning())
    return;
  ::kill(m_Id, SIGKILL);
  ::waitpid(m_Id, nullptr, 0);
}

void Child::start() {
  std::vector<char *> Arguments;
  for (const std::string &Word : m_Words)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  ::posix_spawn_file_actions_init(&Files);
  ::posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, m_LogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  if (::posix_spawn(&m_Id, m_Words[0].c_str(), &Files, nullptr,
                    Arguments.data(), environ) != 0)
    m_Id = -1;
  ::posix_spawn_file_actions_destroy(&Files);
}

void Child::signal(int Number) {
  if (isRunning())
    ::kill(m_Id, Number);
}

bool Child::isRunning() {
  if (m_Id <= 0)
    return false;
  if (::waitpid(m_Id, nullptr, WNOHANG) == 0)
    return true;
  m_Id = -1;
  return false;
}

CaseWorld::CaseWorld(const std::string &Record) : m_Record(Record) {
  std::signal(SIGPIPE, SIG_IGN);
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  m_Folder = ::mkdtemp(Pattern.data());
  m_StoreAddress = m_Store.listen();
}

CaseWorld::~CaseWorld() {
  // Ends the processes, before their folder is removed.
  m_Entries.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

std::string CaseWorld::freeAddress() {
  static int Next = 15'000 + ::getpid() * 71 % 15'000;
  for (;;) {
    boost::system::error_code Problem;
    boost::asio::ip::tcp::acceptor Probe(m_Loop, boost::asio::ip::tcp::v4());
    Probe.bind({boost::asio::ip::make_address("127.0.0.1"),
                static_cast<std::uint16_t>(++Next)},
               Problem);
    if (!Problem)
      return "127.0.0.1:" + std::to_string(Next);
  }
}

void CaseWorld::publish(const nlohmann::json &Configuration) {
  m_Store.put("keyed.op", "config", Configuration.dump());
  record("config version " + Configuration.at("version").dump());
}

void CaseWorld::startEntries(int Count) {
  const std::string PeerPort = portOf(freeAddress());
  std::string Seeds;
  for (int Index = 0; Index < std::min(Count, 3); ++Index)
    Seeds += (Index > 0 ? ", " : "") + std::string("\"127.0.0.") +
             std::to_string(Index + 2) + ":1\"";
  for (int Index = 0; Index < Count; ++Index) {
    Entry &Added = m_Entries.emplace_back();
    const std::string Name = "entry-" + std::to_string(Index);
    Added.m_CallerAddress = freeAddress();
    Added.m_ReadyAddress = freeAddress();
    const std::string Path = m_Folder + "/" + Name;
    // The form of deploy/settings.yaml.in. Entries have an address of their own
    // for each other, since all use the same port there.
    std::ofstream File(Path + ".yaml");
    File << "node: \"" << Name << "\"\nzone: \"a\"\nip: \"127.0.0." << Index + 2
         << "\"\npeer_port: " << PeerPort << "\ncaller_address: \""
         << Added.m_CallerAddress << "\"\nready_address: \""
         << Added.m_ReadyAddress << "\"\ndirectory_address: \"" << freeAddress()
         << "\"\nseeds: [" << Seeds << "]\nlog: \"" << m_StoreAddress
         << "\"\nretries:\n  ratio: 0.2\n  window_s: 10\n  extra: 92\n"
            "address_lifetime_s: 5\ngrace_period_s: 8\nmax_open_files: 4100\n"
            "link_mbps: 1000\n";
    File.close();
    const char *Logs = std::getenv("REVIEW_LOGS");
    Added.m_Process = std::make_unique<Child>(
        std::vector<std::string>{EntryProgram, "--config", Path + ".yaml"},
        Logs ? std::string(Logs) + "/" + Name + ".log" : Path + ".log");
    Added.m_Process->start();
  }
}

bool CaseWorld::waitUntilReady(base::Millis Limit) {
  const base::Millis End = now() + Limit;
  std::vector<bool> Ready(m_Entries.size());
  while (now() < End) {
    for (std::size_t Index = 0; Index < m_Entries.size(); ++Index)
      m_Http.get(m_Entries[Index].m_ReadyAddress, "/readyz", base::seconds(1),
                 [&Ready, Index](const base::Result<net::HttpResponse> &Reply) {
                   Ready[Index] = Reply && Reply->m_Status == 200;
                 });
    runFor(base::Millis(300));
    if (std::all_of(Ready.begin(), Ready.end(),
                    [](bool Each) { return Each; })) {
      // Let the entries find each other. No request is in flight any more.
      runFor(base::seconds(1));
      record("all entries are ready");
      return true;
    }
  }
  return false;
}

ClientCallPtr CaseWorld::call(int Entry, const std::string &Method,
                              const std::string &Target, const std::string &Id,
                              const net::HttpHeaders &Extra,
                              const std::string &Body) {
  auto Sent = std::make_shared<ClientCall>();
  Sent->m_Id = Id;
  Sent->m_Entry = Entry;
  Sent->m_SentAt = now();
  net::HttpCall Call;
  Call.m_Method = Method;
  Call.m_Address = m_Entries[static_cast<std::size_t>(Entry)].m_CallerAddress;
  Call.m_Target = Target;
  Call.m_Host = m_Host;
  Call.m_Headers = {{"Attempt-Id", Id},
                    {"Authorization", "Token " + m_Key},
                    {"Deadline-Ms", m_DeadlineMs}};
  Call.m_Headers.insert(Call.m_Headers.end(), Extra.begin(), Extra.end());
  Call.m_Body = Body;
  Call.m_Timeout = base::seconds(9);
  net::HttpCallbacks Hooks;
  Hooks.m_OnHead = [Sent](const net::HttpResponseHead &Head) {
    Sent->m_Status = Head.m_Status;
    Sent->m_Headers = Head.m_Headers;
  };
  Hooks.m_OnData = [Sent](std::string_view Data) { Sent->m_Body += Data; };
  Hooks.m_OnEnd = [this, Sent](const base::Result<void> &Outcome) {
    Sent->m_Ended = true;
    Sent->m_EndedAt = now();
    Sent->m_Whole = Outcome.has_value();
    record("answer " + Sent->m_Id + " entry " + std::to_string(Sent->m_Entry) +
           " status " + std::to_string(Sent->m_Status) +
           (Sent->m_Whole ? " whole" : " broken") + " bytes " +
           std::to_string(Sent->m_Body.size()) +
           (Sent->m_Status == 200 ? "" : " " + Sent->m_Body.substr(0, 200)));
  };
  record("sent " + Id + " entry " + std::to_string(Entry) + " " + Method + " " +
         Target);
  Sent->m_Handle = m_Http.request(std::move(Call), std::move(Hooks));
  return Sent;
}

void CaseWorld::runFor(base::Millis Time) {
  const base::Millis End = now() + Time;
  while (now() < End)
    m_Loop.run_one_for(std::chrono::milliseconds(
        std::max<std::int64_t>((End - now()).count(), 1)));
}

void CaseWorld::every(base::Millis Period, std::function<void()> Do) {
  after(Period, [this, Period, Do = std::move(Do)] {
    Do();
    every(Period, Do);
  });
}

void CaseWorld::after(base::Millis Time, std::function<void()> Do) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(m_Loop);
  Timer->expires_after(std::chrono::milliseconds(Time.count()));
  Timer->async_wait(
      [Timer, Do = std::move(Do)](const boost::system::error_code &Code) {
        if (!Code)
          Do();
      });
}

void CaseWorld::record(const std::string &Line) {
  m_Record << now().count() << " ms " << Line << '\n';
}

} // namespace corneldeck::review
