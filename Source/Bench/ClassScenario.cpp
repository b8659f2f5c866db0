#include "Bench/ClassModel.h"
#include "Bench/Scenarios.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace corneldeck::bench {
namespace {

using base::Millis;

constexpr Millis Settling = base::seconds(10);
/// Long enough for 100 requests of the smallest customer.
constexpr Millis Measured = base::seconds(240);
/// Value of a served request by class; the most urgent ones are worth most.
constexpr std::array<double, 3> Values = {4, 2, 1};
/// The bounds of docs/design/UNEVEN_LOAD.md, part 5.
constexpr double MinValueRatio = 0.95;
constexpr double MinCustomerShare = 0.8;
constexpr double MinLargeRatio = 0.5;
constexpr double MinClassShare = 0.25;
constexpr double MaxUrgentLoss = 0.05;

/// Parts of the requests by class, as those of customer Z.
std::vector<double> classParts(std::size_t Classes) {
  if (Classes == 1)
    return {1};
  if (Classes == 2)
    return {0.5, 0.5};
  return {0.3, 0.25, 0.45};
}

/// Returns the rates by class that together need \p Load of the capacity.
std::vector<double> ratesFor(const ClassModelOptions &Options,
                             std::size_t Classes, double Load) {
  // A tenth of the requests hold their place 1.5 times as long.
  constexpr double MeanHoldFactor = 1.05;
  constexpr double MillisPerSecond = 1000;
  const double Capacity =
      Options.m_Capacity / MeanHoldFactor /
      (static_cast<double>(Options.m_HoldTime.count()) / MillisPerSecond);
  std::vector<double> Rates = classParts(Classes);
  for (double &Each : Rates)
    Each *= Load * Capacity;
  return Rates;
}

struct ClassResult {
  double m_Value = 0;
  double m_Utilization = 0;
  double m_Excess = 0;
  std::vector<double> m_Served;
  /// Smallest part of its fair share that a customer got.
  double m_LeastCustomer = 1;
  /// Served fraction of the largest requests, relative to all.
  double m_Large = 1;
  /// Smallest served fraction of a class, relative to all.
  double m_LeastClass = 1;
  bool m_IsOrdered = true;
  double m_Refused = 0;
  std::vector<double> m_ReturnedServed;
};

/// Returns the smallest part of its fair share that a customer got. The fair
/// shares are the max-min fair division of what the class served.
double leastCustomer(const std::vector<ClassModel::Tally> &Customers) {
  std::vector<double> Offered;
  double Left = 0;
  for (const ClassModel::Tally &Each : Customers) {
    Offered.push_back(static_cast<double>(Each.m_Offered));
    Left += static_cast<double>(Each.m_Served);
  }
  std::sort(Offered.begin(), Offered.end());
  double Level = Offered.back();
  for (std::size_t Index = 0; Index < Offered.size(); ++Index) {
    const double Equal = Left / static_cast<double>(Offered.size() - Index);
    if (Equal <= Offered[Index]) {
      Level = Equal;
      break;
    }
    Left -= Offered[Index];
  }
  double Least = 1;
  for (const ClassModel::Tally &Each : Customers)
    if (Each.m_Offered > 0)
      Least = std::min(
          Least, static_cast<double>(Each.m_Served) /
                     std::min(Level, static_cast<double>(Each.m_Offered)));
  return Least;
}

ClassResult summarize(const ClassModel &Model) {
  ClassResult Result;
  ClassModel::Tally All;
  for (const ClassModel::ClassOutcome &Each : Model.outcomes()) {
    All.m_Offered += Each.m_All.m_Offered;
    All.m_Served += Each.m_All.m_Served;
  }
  std::size_t Class = 0;
  for (const ClassModel::ClassOutcome &Each : Model.outcomes()) {
    Result.m_Value += Values[std::min(Class++, Values.size() - 1)] *
                      static_cast<double>(Each.m_All.m_Served);
    // One percent is left for chance where all are served.
    constexpr double Chance = 0.01;
    if (!Result.m_Served.empty() &&
        Each.m_All.ratio() > Result.m_Served.back() + Chance)
      Result.m_IsOrdered = false;
    Result.m_Served.push_back(Each.m_All.ratio());
    Result.m_LeastClass =
        std::min(Result.m_LeastClass, Each.m_All.ratio() / All.ratio());
    Result.m_LeastCustomer =
        std::min(Result.m_LeastCustomer, leastCustomer(Each.m_Customers));
    Result.m_Large =
        std::min(Result.m_Large,
                 Each.m_Large.ratio() / std::max(Each.m_All.ratio(), 0.01));
    Result.m_ReturnedServed.push_back(Each.m_Returned.ratio());
  }
  Result.m_Refused = 1 - All.ratio();
  Result.m_Utilization = Model.utilization();
  Result.m_Excess = Model.excess();
  return Result;
}

ClassResult runCase(const ClassModelOptions &Options, Millis Before = Settling,
                    Millis During = Measured) {
  ClassModel Model(Options);
  Model.runFor(Before);
  Model.resetOutcomes();
  Model.runFor(During);
  return summarize(Model);
}

/// Collects the measurements and verdicts of the scenario.
class ClassReportWriter {
public:
  explicit ClassReportWriter(std::uint64_t Seed) : m_Seed(Seed) {}

  ClassModelOptions options(ClassMode Mode) const {
    ClassModelOptions Options;
    Options.m_Seed = m_Seed;
    Options.m_Mode = Mode;
    return Options;
  }

  void overload(std::size_t Classes, double Load) {
    const std::string Case = std::to_string(Classes) + " classes at " +
                             std::to_string(Load).substr(0, 3);
    ClassResult Results[2];
    const std::array<std::pair<std::string, ClassMode>, 2> Variants = {
        {{"complete-information", ClassMode::CompleteInformation},
         {"corneldeck", ClassMode::Shared}}};
    for (std::size_t Index = 0; Index < Variants.size(); ++Index) {
      ClassModelOptions Options = options(Variants[Index].second);
      Options.m_Rates = ratesFor(Options, Classes, Load);
      Results[Index] = runCase(Options);
      measure(Variants[Index].first, Case, Results[Index]);
    }
    const ClassResult &Ours = Results[1];
    atLeast(Case, "value_ratio", Ours.m_Value / Results[0].m_Value,
            MinValueRatio);
    atLeast(Case, "least_customer_share", Ours.m_LeastCustomer,
            MinCustomerShare);
    atLeast(Case, "large_ratio", Ours.m_Large, MinLargeRatio);
    atLeast(Case, "least_class_share", Ours.m_LeastClass, MinClassShare);
    atLeast(Case, "classes_in_order", Ours.m_IsOrdered ? 1 : 0, 1);
  }

  /// The overnight class at 2.2 times its rate for 7 s, and the most urgent one
  /// at 1.9 times for 3 s of them.
  ClassResult burst(ClassMode Mode, const std::string &Variant) {
    constexpr double CalmLoad = 0.85;
    ClassModelOptions Options = options(Mode);
    Options.m_Rates = ratesFor(Options, 3, CalmLoad);
    Options.m_CallersReturn = true;
    Options.m_Bursts = {
        {2, base::seconds(10), base::seconds(7), 2.2},
        {0, base::seconds(12), base::seconds(3), 1.9},
        {0, base::seconds(12) + Millis(3500), base::seconds(1), 1.6}};
    ClassResult Result = runCase(Options, Settling, base::seconds(8));
    measure(Variant, "burst", Result);
    for (std::size_t Class = 0; Class < Result.m_ReturnedServed.size(); ++Class)
      add(Variant, "burst",
          "returned_served_ratio_class_" + std::to_string(Class),
          Result.m_ReturnedServed[Class]);
    return Result;
  }

  ClassResult largeCustomer(ClassMode Mode, const std::string &Variant) {
    constexpr double Load = 0.7;
    constexpr std::size_t Customer = 11;
    constexpr double Factor = 50;
    ClassModelOptions Options = options(Mode);
    Options.m_LargeCustomer = Customer;
    Options.m_LargeFactor = Factor;
    // The customer has 2.5% of the requests before, which become 2.2 times as
    // many.
    constexpr double Increase = 2.2;
    Options.m_Rates = ratesFor(Options, 3, Load * Increase);
    ClassResult Result = runCase(Options);
    measure(Variant, "large customer", Result);
    return Result;
  }

  void calm() {
    constexpr double Load = 0.8;
    ClassModelOptions Options = options(ClassMode::Shared);
    Options.m_Rates = ratesFor(Options, 3, Load);
    const ClassResult Ours = runCase(Options);
    measure("corneldeck", "calm", Ours);
    Options.m_Mode = ClassMode::NoReservation;
    const ClassResult Before = runCase(Options);
    measure("no-reservation", "calm", Before);
    atMost("calm", "refused_ratio", Ours.m_Refused, Before.m_Refused);
  }

  void atLeast(const std::string &Case, const std::string &Metric, double Value,
               double Bound) {
    m_Report.m_Bounds.push_back(
        {Case + ": " + Metric + " >= " + text(Bound), Value, Value >= Bound});
  }
  void atMost(const std::string &Case, const std::string &Metric, double Value,
              double Bound) {
    m_Report.m_Bounds.push_back(
        {Case + ": " + Metric + " <= " + text(Bound), Value, Value <= Bound});
  }
  [[nodiscard]] ScenarioReport take() { return std::move(m_Report); }

private:
  static std::string text(double Value) {
    std::string Text = std::to_string(Value);
    Text.erase(Text.find_last_not_of('0') + 1);
    return Text.ends_with('.') ? Text + "0" : Text;
  }
  void add(const std::string &Variant, const std::string &Case,
           const std::string &Metric, double Value) {
    m_Report.m_Measurements.push_back(
        {Variant, Metric, Value, "ratio", {{"case", Case}}});
  }
  void measure(const std::string &Variant, const std::string &Case,
               const ClassResult &Result) {
    add(Variant, Case, "utilization", Result.m_Utilization);
    add(Variant, Case, "excess", Result.m_Excess);
    add(Variant, Case, "least_customer_share", Result.m_LeastCustomer);
    add(Variant, Case, "large_ratio", Result.m_Large);
    for (std::size_t Class = 0; Class < Result.m_Served.size(); ++Class)
      add(Variant, Case, "served_ratio_class_" + std::to_string(Class),
          Result.m_Served[Class]);
  }

  const std::uint64_t m_Seed;
  ScenarioReport m_Report;
};

ScenarioReport runClasses(const ScenarioOptions &Options) {
  ClassReportWriter Writer(Options.m_Seed);
  for (const double Load : {1.2, 1.6, 2.5})
    for (const std::size_t Classes : {1U, 2U, 3U})
      Writer.overload(Classes, Load);
  Writer.calm();
  const auto UrgentLoss = [](const ClassResult &Result) {
    return 1 - Result.m_Served.front();
  };
  Writer.burst(ClassMode::CompleteInformation, "complete-information");
  Writer.atMost("burst", "urgent_loss",
                UrgentLoss(Writer.burst(ClassMode::Shared, "corneldeck")),
                MaxUrgentLoss);
  Writer.atMost("burst without reports", "urgent_loss",
                UrgentLoss(Writer.burst(ClassMode::NoReports, "no-reports")),
                MaxUrgentLoss);
  Writer.atLeast(
      "large customer", "least_customer_share",
      Writer.largeCustomer(ClassMode::Shared, "corneldeck").m_LeastCustomer,
      MinCustomerShare);
  // Planted mistakes: the bounds have to find them.
  Writer.atLeast("planted no-reservation: found", "urgent_loss",
                 UrgentLoss(Writer.burst(ClassMode::NoReservation,
                                         "planted-no-reservation")),
                 MaxUrgentLoss);
  Writer.atMost(
      "planted no-customers: found", "least_customer_share",
      Writer.largeCustomer(ClassMode::NoCustomers, "planted-no-customers")
          .m_LeastCustomer,
      MinCustomerShare);
  return Writer.take();
}

} // namespace

Scenario classesScenario() {
  return {"classes", "urgent and less urgent requests share a service",
          runClasses};
}

} // namespace corneldeck::bench
