#ifndef REVIEW_STANDINS2_WORLD_H
#define REVIEW_STANDINS2_WORLD_H

#include "Platform/StandinStore.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Parts of the cases of the second review: a small deployment on loopback
/// addresses whose entries are the project's own processes.
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Writes record.txt; each line begins with the milliseconds since the start.
class Record {
public:
  explicit Record(const std::string &Path);
  void line(const std::string &Text);
  [[nodiscard]] long now() const;

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
  Clock::time_point m_Start = Clock::now();
};

/// A plain blocking TCP socket with time-outs.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Handle) : m_Handle(Handle) {}
  Socket(Socket &&Other) noexcept;
  Socket &operator=(Socket &&Other) noexcept;
  ~Socket();

  /// \returns whether the connection was established in time.
  bool connect(const std::string &Address, Millis Timeout);
  bool sendAll(const std::string &Bytes, Millis Timeout);
  /// Reads what is there. \returns the number of bytes, 0 at the end of the
  /// connection, -1 after a reset, -2 if nothing came in time.
  long read(std::string &Into, Millis Timeout);
  void close();
  void reset();
  [[nodiscard]] int handle() const { return m_Handle; }

private:
  int m_Handle = -1;
};

/// A response as a caller sees it.
struct Response {
  /// 0 without a complete head.
  int m_Status = 0;
  std::map<std::string, std::string> m_Headers;
  std::string m_Body;
  bool m_IsComplete = false;
  /// "ok", "closed", "reset" or "timeout".
  std::string m_End;
};

/// Reads one response with a length, in chunks, or up to the end of the
/// connection. \p Rest holds bytes beyond it.
Response readResponse(Socket &From, std::string &Rest, Millis Timeout);

/// One request as a replica got it.
struct Run {
  std::string m_Id;
  long m_At = 0;
  std::size_t m_Bytes = 0;
  bool m_IsAnswered = false;
};

/// A sound replica of an application: works on each request for some time and
/// then answers it, whole and signed. One thread per connection.
class Replica {
public:
  Replica(Record &Log, std::string Id, std::string Service, std::string Ip);
  ~Replica();

  [[nodiscard]] std::string record() const;
  [[nodiscard]] const std::string &id() const { return m_Id; }
  [[nodiscard]] std::vector<Run> runs() const;

  std::atomic<int> m_WorkMs{20};

private:
  void serve(int Handle);

  Record &m_Log;
  const std::string m_Id;
  const std::string m_Service;
  std::string m_Address;
  int m_Listener = -1;
  std::atomic<bool> m_Stopped{false};
  std::thread m_Accepting;
  mutable std::mutex m_Mutex;
  std::vector<Run> m_Runs;
  std::vector<int> m_Open;
  std::vector<std::thread> m_Threads;
};

/// One process of the system.
class Process {
public:
  Process(std::vector<std::string> Words, std::string Settings,
          std::string Log);
  ~Process();
  bool isRunning();
  void signal(int Number);
  [[nodiscard]] pid_t id() const { return m_Id; }
  /// How the process ended; empty while it runs.
  [[nodiscard]] const std::string &end() const { return m_End; }

private:
  pid_t m_Id = -1;
  std::string m_End;
};

struct EntryAddresses {
  std::string m_Ingress;
  std::string m_Ready;
  std::string m_Directory;
};

/// Settings of an entry's machine.
struct Machine {
  int m_MemoryMb = 260;
  int m_MaxOpenFiles = 4100;
};

/// The store and the entries. The stand-in store runs in a thread of its own.
class World {
public:
  World(Record &Log, const std::string &Folder);
  ~World();

  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  /// The loop of the stand-ins, which runs in a thread of its own.
  boost::asio::io_context &loop() { return m_Loop; }
  /// The same as put(), in that thread.
  void putInLoop(const std::string &Topic, const std::string &Key,
                 const std::string &Value);
  /// Runs \p Do in that thread and waits for its end.
  void runInLoop(const std::function<void()> &Do);
  /// Starts an entry with the command of the deploy file.
  void startEntry(const Machine &Given);
  /// \returns whether all entries answer /readyz with 200 in time.
  bool awaitReady(Millis Limit);
  /// Publishes a configuration: the route /NAME/ for each service, with the
  /// given type, and routes that nobody uses, as a deployment grows.
  void publish(const std::map<std::string, std::string> &TypeByService,
               int FurtherRoutes = 8, int TimeoutMs = 8000);

  [[nodiscard]] const std::string &ip() const { return m_Ip; }
  std::vector<EntryAddresses> m_Entries;
  std::vector<std::unique_ptr<Process>> m_Processes;

private:
  Record &m_Log;
  const std::string m_Folder;
  std::string m_Ip;
  boost::asio::io_context m_Loop{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work;
  std::unique_ptr<corneldeck::tests::StandinStore> m_Store;
  std::string m_StoreAddress;
  std::thread m_Thread;
};

/// Resident bytes of a process; 0 if it is gone.
std::size_t residentBytes(pid_t Id);
/// Bytes that arrived on connections accepted at \p Address and weren't read.
std::size_t unreadBytes(const std::string &Address);
/// An address with a free port.
std::string freeAddress(const std::string &Ip);
/// Permits as many descriptors as the machine does; the case can't run if they
/// are too few.
void raiseDescriptors();
bool hasTrouble();

} // namespace review

#endif
