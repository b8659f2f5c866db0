#ifndef CORNELDECK_CATALOGUE_VIEW_H
#define CORNELDECK_CATALOGUE_VIEW_H

#include "Catalogue/Entry.h"
#include "Catalogue/State.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace corneldeck::catalogue {

/// An immutable copy of the catalogue for the threads that serve requests.
class View {
public:
  using EntryMap =
      std::map<std::string, std::shared_ptr<const Entry>, std::less<>>;
  using OffsetMap = std::map<std::string, std::uint64_t, std::less<>>;

  View() = default;
  View(std::uint64_t Offset, EntryMap Entries,
       std::map<std::string, std::string> Unreadable, OffsetMap ChangeOffsets);

  /// \returns the log offset of this view.
  [[nodiscard]] std::uint64_t offset() const { return m_Offset; }

  /// \returns the entry named \p Name, or null.
  [[nodiscard]] std::shared_ptr<const Entry> find(std::string_view Name) const;

  /// \returns the offset of the newest accepted change of an entry, which may
  /// be its deletion; 0 if there is none.
  [[nodiscard]] std::uint64_t changeOffset(std::string_view Name) const;

  /// \returns the offsets of the newest changes of all entries, including
  /// deleted ones.
  [[nodiscard]] const OffsetMap &changeOffsets() const {
    return m_ChangeOffsets;
  }

  /// \returns the entries by name, without deleted and unreadable ones.
  [[nodiscard]] const EntryMap &entries() const { return m_Entries; }

  /// \returns the accepted entries that this program version can't parse, with
  /// the reason. Requests for them are refused.
  [[nodiscard]] const std::map<std::string, std::string> &unreadable() const {
    return m_Unreadable;
  }

private:
  std::uint64_t m_Offset = 0;
  EntryMap m_Entries;
  std::map<std::string, std::string> m_Unreadable;
  OffsetMap m_ChangeOffsets;
};

using ViewPtr = std::shared_ptr<const View>;

/// Builds views. Parses only the entries that changed since the last view.
class ViewBuilder {
public:
  /// \returns a view of \p Current.
  ViewPtr build(const State &Current);

private:
  struct CachedEntry {
    std::uint64_t m_Version = 0;
    std::uint64_t m_Offset = 0;
    /// Null if the text can't be parsed; m_Reason then contains the reason.
    std::shared_ptr<const Entry> m_Entry;
    std::string m_Reason;
  };

  /// \returns the parsed entry, from the cache if it has not changed.
  const CachedEntry &parseCached(const std::string &Name,
                                 const VersionedEntry &Source);

  std::map<std::string, CachedEntry> m_Cache;
};

} // namespace corneldeck::catalogue

#endif
