#include "Admission/AdmissionControl.h"
#include "Base/Random.h"
#include "Bench/PropertyRun.h"
#include "Bench/Scenarios.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>

namespace corneldeck::bench {
namespace {

using base::Millis;

constexpr std::size_t MaxQueued = 24;
constexpr double MostWork = 8;
constexpr int Customers = 3;
constexpr int Classes = 2;

/// One queue under test beside the simple list that it is held against.
class AdmissionRun {
public:
  explicit AdmissionRun(std::string Plant)
      : m_Plant(std::move(Plant)), m_Queue(settingsFor(m_Plant)) {}

  void wait(Millis Span) { m_Now += Span; }

  void offer(int Customer, int Class, double Work, Millis Time) {
    admission::QueuedRequest New;
    New.m_Request = "r" + std::to_string(++m_Last);
    New.m_Customer = customerName(Customer);
    New.m_Class = m_Plant == "no-classes" ? 0 : static_cast<unsigned>(Class);
    New.m_Work = Work;
    New.m_Deadline = m_Now + Time;
    New.m_ExpectedRunTime = Millis(100);
    const admission::EnqueueResult Outcome = m_Queue.enqueue(m_Now, New);
    for (const admission::Refusal &Each : Outcome.m_Displaced)
      displaced(Each, Class);
    if (Outcome.m_Refusal)
      checkRefusal(*Outcome.m_Refusal);
    else
      m_Waiting[New.m_Request] = {Customer, Class, Work};
    // The queue forgets a request without an answer.
    if (m_Plant == "queue-drops" && m_Last % 5 == 0)
      m_Queue.cancel(m_Now, New.m_Request);
    checkSize();
  }

  void take() {
    const auto Next = m_Queue.peek(1);
    if (Next.empty() != m_Waiting.empty())
      return fail("the queue and the list differ in being empty");
    if (Next.empty())
      return;
    const std::string Request = Next.front()->m_Request;
    const auto Found = m_Waiting.find(Request);
    if (Found == m_Waiting.end())
      return fail(Request + " is served but was not waiting");
    const Item Served = Found->second;
    for (const auto &[Name, Each] : m_Waiting)
      if (Each.m_Class < Served.m_Class)
        return fail(Request + " is served before a higher class");
    if (!m_Queue.dequeue(m_Now, Request))
      return fail(Request + " can't be taken");
    m_Waiting.erase(Request);
    noteServed(Served);
    checkSize();
  }

  void cancel(std::size_t Choice) {
    if (m_Waiting.empty())
      return;
    auto Found = m_Waiting.begin();
    std::advance(Found, static_cast<std::ptrdiff_t>(Choice % m_Waiting.size()));
    if (!m_Queue.cancel(m_Now, Found->first))
      return fail(Found->first + " can't be cancelled");
    if (m_Queue.cancel(m_Now, Found->first))
      return fail(Found->first + " is cancelled twice");
    m_Waiting.erase(Found);
    checkSize();
  }

  void expire() {
    for (const admission::Refusal &Each : m_Queue.expire(m_Now)) {
      checkRefusal(Each.m_Error);
      if (m_Waiting.erase(Each.m_Request) == 0)
        fail(Each.m_Request + " is given up but was not waiting");
    }
    checkSize();
  }

  /// Serves all that waits. \returns what was broken, if anything was.
  std::string finish() {
    while (m_Broken.empty() && !m_Waiting.empty())
      take();
    if (m_Broken.empty() && m_Queue.size() != 0)
      fail("the queue holds more than was offered");
    return m_Broken;
  }

  [[nodiscard]] double servedOf(int Customer) const {
    const auto Found = m_Served.find(Customer);
    return Found == m_Served.end() ? 0 : Found->second;
  }
  [[nodiscard]] std::size_t waiting() const { return m_Waiting.size(); }

private:
  struct Item {
    int m_Customer = 0;
    int m_Class = 0;
    double m_Work = 0;
  };

  static admission::AdmissionSettings settingsFor(const std::string &Plant) {
    admission::AdmissionSettings Settings;
    Settings.m_MaxQueued = MaxQueued;
    Settings.m_InitialWorkRate = 20;
    if (Plant == "no-retry-after") {
      Settings.m_MinRetryAfter = Millis(0);
      Settings.m_MaxRetryAfter = Millis(0);
    }
    return Settings;
  }

  [[nodiscard]] std::string customerName(int Customer) const {
    // All customers stand in one line.
    return m_Plant == "no-fair-shares" ? "all" : std::to_string(Customer);
  }

  void fail(const std::string &Seen) {
    if (m_Broken.empty())
      m_Broken = Seen;
  }

  void checkSize() {
    if (m_Queue.size() != m_Waiting.size())
      fail("the queue holds " + std::to_string(m_Queue.size()) + ", not " +
           std::to_string(m_Waiting.size()));
  }

  void checkRefusal(const base::Error &Given) {
    if (Given.m_RetryAfter <= Millis(0))
      fail("a refusal without a time to come back");
    if (base::info(Given.m_Code).m_Ran != base::Ran::No)
      fail("a refusal that doesn't say 'not run'");
  }

  void displaced(const admission::Refusal &Gone, int ByClass) {
    checkRefusal(Gone.m_Error);
    const auto Found = m_Waiting.find(Gone.m_Request);
    if (Found == m_Waiting.end())
      return fail(Gone.m_Request + " is displaced but was not waiting");
    if (Found->second.m_Class < ByClass)
      fail(Gone.m_Request + " is displaced by a lower class");
    m_Waiting.erase(Found);
  }

  /// Customers that both kept waiting are served alike.
  void noteServed(const Item &Served) {
    m_Served[Served.m_Customer] += Served.m_Work;
    for (int A = 0; A < Customers; ++A)
      for (int B = 0; B < Customers; ++B) {
        double &Ahead = m_Ahead[{Served.m_Class, A, B}];
        if (A == B || !waits(A, Served) || !waits(B, Served)) {
          Ahead = 0;
          continue;
        }
        if (A == Served.m_Customer)
          Ahead += Served.m_Work;
        if (B == Served.m_Customer)
          Ahead -= Served.m_Work;
        if (Ahead > 2 * MostWork)
          fail("a customer is served " + std::to_string(Ahead) +
               " more than another that waits too");
      }
  }

  [[nodiscard]] bool waits(int Customer, const Item &Served) const {
    return std::any_of(m_Waiting.begin(), m_Waiting.end(),
                       [&](const auto &Each) {
                         return Each.second.m_Customer == Customer &&
                                Each.second.m_Class == Served.m_Class;
                       });
  }

  std::string m_Plant;
  admission::AdmissionControl m_Queue;
  Millis m_Now{};
  int m_Last = 0;
  std::map<std::string, Item> m_Waiting;
  std::map<int, double> m_Served;
  std::map<std::tuple<int, int, int>, double> m_Ahead;
  std::string m_Broken;
};

constexpr Millis LongTime = base::minutes(30);

/// A large customer floods while a small one asks now and then.
std::string floodByOne(const std::string &Plant) {
  AdmissionRun Run(Plant);
  for (int Round = 0; Round < 400; ++Round) {
    Run.wait(Millis(50));
    for (int Number = 0; Number < 4; ++Number)
      Run.offer(0, 1, 4, LongTime);
    Run.offer(1, 1, 4, LongTime);
    Run.take();
  }
  if (Run.servedOf(1) < 0.8 * Run.servedOf(0))
    return "the small customer got " + std::to_string(Run.servedOf(1)) +
           " of " + std::to_string(Run.servedOf(0));
  return Run.finish();
}

std::string floodOfLowClass(const std::string &Plant) {
  AdmissionRun Run(Plant);
  for (int Round = 0; Round < 100; ++Round) {
    Run.wait(Millis(50));
    for (int Number = 0; Number < 3; ++Number)
      Run.offer(Number, 1, 4, LongTime);
    Run.offer(0, 0, 4, LongTime);
    Run.take();
  }
  return Run.finish();
}

std::string nothingLeaves(const std::string &Plant) {
  AdmissionRun Run(Plant);
  for (int Round = 0; Round < 100; ++Round) {
    Run.offer(Round % Customers, Round % Classes, 4, base::seconds(3));
    Run.wait(Millis(100));
    Run.expire();
  }
  return Run.finish();
}

std::string callersGo(const std::string &Plant) {
  AdmissionRun Run(Plant);
  for (int Round = 0; Round < 100; ++Round) {
    Run.offer(Round % Customers, Round % Classes, 2, LongTime);
    if (Round % 3 == 0)
      Run.cancel(static_cast<std::size_t>(Round));
    if (Round % 4 == 0)
      Run.take();
    Run.wait(Millis(20));
  }
  return Run.finish();
}

std::vector<MatrixRow> admissionMatrix(const std::string &Plant) {
  using Row =
      std::pair<const char *, std::function<std::string(const std::string &)>>;
  const std::vector<Row> Steps = {{"one-customer-floods", floodByOne},
                                  {"low-class-floods", floodOfLowClass},
                                  {"nothing-leaves-the-queue", nothingLeaves},
                                  {"callers-go-away", callersGo}};
  std::vector<MatrixRow> Rows;
  for (const auto &[Name, Run] : Steps) {
    const std::string Seen = Run(Plant);
    Rows.push_back({Name, "queue", Seen.empty(), Seen});
  }
  return Rows;
}

// The fuzzer.

enum class Act { Offer, OfferMore, Take, Cancel, Expire, Count };

struct AdmissionStep {
  int m_Act = 0;
  int m_Customer = 0;
  int m_Class = 0;
  int m_Work = 1;
  std::int64_t m_Time = 0;
};

void showValue(const AdmissionStep &Step, std::ostream &Out) {
  Out << "{act " << Step.m_Act << ", customer " << Step.m_Customer << ", class "
      << Step.m_Class << ", work " << Step.m_Work << ", time " << Step.m_Time
      << "}";
}

rc::Gen<AdmissionStep> anyAdmissionStep() {
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::build<AdmissionStep>(
          rc::gen::set(&AdmissionStep::m_Act,
                       rc::gen::inRange(0, static_cast<int>(Act::Count))),
          rc::gen::set(&AdmissionStep::m_Customer,
                       rc::gen::inRange(0, Customers)),
          rc::gen::set(&AdmissionStep::m_Class, rc::gen::inRange(0, Classes)),
          rc::gen::set(&AdmissionStep::m_Work,
                       rc::gen::inRange(1, static_cast<int>(MostWork) + 1)),
          rc::gen::set(&AdmissionStep::m_Time,
                       rc::gen::element<std::int64_t>(50, 400, 3'000, 60'000,
                                                      1'800'000))));
}

void actOnQueue(AdmissionRun &Run, const AdmissionStep &Step) {
  const Act What = static_cast<Act>(Step.m_Act);
  if (What == Act::Take)
    Run.take();
  else if (What == Act::Cancel)
    Run.cancel(static_cast<std::size_t>(Step.m_Time));
  else if (What == Act::Expire)
    Run.expire();
  else
    Run.offer(Step.m_Customer, Step.m_Class, Step.m_Work, Millis(Step.m_Time));
  Run.wait(Millis(10));
}

FuzzReport admissionFuzz(std::uint64_t Schedules, std::uint64_t Seed,
                         const std::string &Plant) {
  constexpr int MaxSteps = 160;
  return runProperty(Schedules, Seed, MaxSteps, [&] {
    const auto Schedule =
        *rc::gen::container<std::vector<AdmissionStep>>(anyAdmissionStep());
    AdmissionRun Run(Plant);
    for (const AdmissionStep &Step : Schedule)
      actOnQueue(Run, Step);
    const std::string Seen = Run.finish();
    if (!Seen.empty())
      RC_FAIL(Seen);
  });
}

} // namespace

Promise admissionPromise() {
  return {"admission",
          {"queue-drops", "no-classes", "no-fair-shares", "no-retry-after"},
          admissionMatrix,
          admissionFuzz};
}

} // namespace corneldeck::bench
