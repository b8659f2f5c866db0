#ifndef CORNELDECK_ENTRY_ENTRYSETTINGS_H
#define CORNELDECK_ENTRY_ENTRYSETTINGS_H

#include "Base/Error.h"
#include "Settings/Reader.h"

#include <string>
#include <vector>

namespace corneldeck::entry {

/// The validated settings of corneldeck-entry.
struct EntrySettings {
  std::string m_Node;
  std::string m_Zone;
  /// Address for callers, operators and the status pages, "ip:port".
  std::string m_HttpAddress;
  /// Address for control messages from other processes, "ip:port".
  std::string m_ControlAddress;
  std::string m_LogAddress;
  /// Control addresses of all entries; may include this one.
  std::vector<std::string> m_Entries;
  /// Maximum time that a graceful stop waits for requests in flight, counted
  /// from when the address lists that contain this entry have expired.
  base::Millis m_StopTimeout{};
  std::size_t m_MaxConnections = 0;
  std::size_t m_TimelineEvents = 0;
  bool m_LogRequests = false;
};

/// Reads and validates the settings.
/// \returns the settings, or BadSettings with all problems, one per line.
base::Result<EntrySettings> readEntrySettings(settings::Reader Reader);

} // namespace corneldeck::entry

#endif
