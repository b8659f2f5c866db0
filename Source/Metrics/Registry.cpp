#include "Metrics/Registry.h"

#include <cmath>
#include <sstream>

namespace corneldeck::metrics {

namespace {

constexpr int SignificantDigits = 12;

std::string formatValue(double Value) {
  if (std::isinf(Value))
    return Value > 0 ? "+Inf" : "-Inf";
  std::ostringstream Out;
  Out.precision(SignificantDigits);
  Out << Value;
  return Out.str();
}

/// \returns \p Text with backslashes, quotes and line breaks escaped.
std::string escape(const std::string &Text) {
  std::string Out;
  for (const char Byte : Text) {
    if (Byte == '\\' || Byte == '"')
      Out += '\\';
    if (Byte == '\n')
      Out += "\\n";
    else
      Out += Byte;
  }
  return Out;
}

std::string formatLabels(const Labels &SeriesLabels) {
  std::string Out;
  for (const auto &[Name, Value] : SeriesLabels) {
    if (!Out.empty())
      Out += ',';
    Out += Name + "=\"" + escape(Value) + "\"";
  }
  return Out;
}

/// \returns the labels in braces, or an empty string if there are none.
std::string inBraces(const std::string &Joined) {
  return Joined.empty() ? "" : "{" + Joined + "}";
}

} // namespace

/// All series with one name, by their formatted labels.
struct Registry::Family {
  std::string m_Help;
  const char *m_Type = "";
  std::map<std::string, std::unique_ptr<Counter>> m_Counters;
  std::map<std::string, std::unique_ptr<Gauge>> m_Gauges;
  std::map<std::string, std::unique_ptr<Histogram>> m_Histograms;
  std::function<double()> m_Read;

  void expose(const std::string &Name, std::ostream &Out) const {
    Out << "# HELP " << Name << ' ' << escape(m_Help) << '\n';
    Out << "# TYPE " << Name << ' ' << m_Type << '\n';
    for (const auto &[FormattedLabels, Item] : m_Counters)
      Out << Name << inBraces(FormattedLabels) << ' ' << Item->value() << '\n';
    for (const auto &[FormattedLabels, Item] : m_Gauges)
      Out << Name << inBraces(FormattedLabels) << ' '
          << formatValue(Item->value()) << '\n';
    for (const auto &[FormattedLabels, Item] : m_Histograms)
      exposeHistogram(Name, FormattedLabels, *Item, Out);
    if (m_Read)
      Out << Name << ' ' << formatValue(m_Read()) << '\n';
  }

  static void exposeHistogram(const std::string &Name,
                              const std::string &FormattedLabels,
                              const Histogram &Item, std::ostream &Out) {
    const std::string Prefix =
        FormattedLabels.empty() ? "" : FormattedLabels + ",";
    const std::vector<Histogram::Bucket> Buckets = Item.buckets();
    for (const Histogram::Bucket &Each : Buckets)
      Out << Name << "_bucket{" << Prefix << "le=\""
          << formatValue(Each.m_Bound) << "\"} " << Each.m_Count << '\n';
    Out << Name << "_sum" << inBraces(FormattedLabels) << ' '
        << formatValue(Item.sum()) << '\n';
    Out << Name << "_count" << inBraces(FormattedLabels) << ' '
        << Buckets.back().m_Count << '\n';
  }
};

Registry::Registry() = default;
Registry::~Registry() = default;

Registry::Family &Registry::family(const std::string &Name,
                                   const std::string &Help, const char *Type) {
  std::unique_ptr<Family> &Slot = m_Families[Name];
  if (!Slot) {
    Slot = std::make_unique<Family>();
    Slot->m_Help = Help;
    Slot->m_Type = Type;
  }
  return *Slot;
}

Counter &Registry::counter(const std::string &Name, const std::string &Help,
                           const Labels &SeriesLabels) {
  const std::lock_guard Lock(m_Mutex);
  auto &Slot =
      family(Name, Help, "counter").m_Counters[formatLabels(SeriesLabels)];
  if (!Slot)
    Slot = std::make_unique<Counter>();
  return *Slot;
}

Gauge &Registry::gauge(const std::string &Name, const std::string &Help,
                       const Labels &SeriesLabels) {
  const std::lock_guard Lock(m_Mutex);
  auto &Slot = family(Name, Help, "gauge").m_Gauges[formatLabels(SeriesLabels)];
  if (!Slot)
    Slot = std::make_unique<Gauge>();
  return *Slot;
}

Histogram &Registry::histogram(const std::string &Name, const std::string &Help,
                               const std::vector<double> &Bounds,
                               const Labels &SeriesLabels) {
  const std::lock_guard Lock(m_Mutex);
  auto &Slot =
      family(Name, Help, "histogram").m_Histograms[formatLabels(SeriesLabels)];
  if (!Slot)
    Slot = std::make_unique<Histogram>(Bounds);
  return *Slot;
}

void Registry::gauge(const std::string &Name, const std::string &Help,
                     std::function<double()> Read) {
  const std::lock_guard Lock(m_Mutex);
  family(Name, Help, "gauge").m_Read = std::move(Read);
}

std::string Registry::expose() const {
  const std::lock_guard Lock(m_Mutex);
  std::ostringstream Out;
  for (const auto &[Name, Item] : m_Families)
    Item->expose(Name, Out);
  return Out.str();
}

} // namespace corneldeck::metrics
