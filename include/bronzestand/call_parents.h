#ifndef BRONZESTAND_CALL_PARENTS_H
#define BRONZESTAND_CALL_PARENTS_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "bronzestand/call.h"

namespace bronzestand {

/// How a call of a backend server was assigned to the run that makes it.
enum class ParentMatch {
  Deadline,  ///< by the deadline, which only one run has
  Ambiguous, ///< by the deadline, which several runs have
  Class,     ///< only one class of runs makes such calls, as known from other calls of the class
  None,
};

std::string_view parentMatchName(ParentMatch Value);

/// Finds the run that makes a call of the backend server beside this node. The server tells neither
/// the node nor the callee on whose behalf it calls, but a call carries the time that is left of
/// the deadline of its run, unless its class has a shorter time limit of its own. Load pattern:
/// requests of different rank whose calls share a service that is short of capacity. Design note
/// docs/design/call-order.md.
///
/// For calls with a time limit of their own, the class of runs that makes them is learned from
/// presence: a class of runs makes calls only while one of its runs is at the server.
///
/// Memory: the runs at one server, their classes, and MaxCalledClasses called classes with the
/// classes of runs that were at the server during their calls.
class CallParents {
public:
  using RunNumber = std::uint64_t;

  static constexpr std::size_t MaxCalledClasses = 256;

  struct Parent {
    ParentMatch Match_ = ParentMatch::None;
    /// Of the root; no value: not known, or only one of several runs could have made the call and
    /// not all of them are first attempts, so that the call cannot be counted as one.
    std::optional<RootStanding> Standing_;
    ClassId Class_;      ///< of the run; empty if it is not known
    bool First_ = false; ///< all runs that could have made the call are first attempts
    /// Share of the runs that could have made the call that are repeats, or belong to one; 0 if
    /// Standing_ tells it.
    double RepeatedShare_ = 0.0;
  };

  /// Adds a run that is sent to the server. Cost: logarithmic in the runs.
  /// \param Run unique among the runs at the server.
  /// \param Deadline the time of sending plus the time left that the server is told.
  /// \param Standing of the root of the run; no value if it is not known.
  void add(RunNumber Run, TimePoint Deadline, const ClassId &Class,
           const std::optional<RootStanding> &Standing);
  /// Removes a run that has ended. Unknown runs are ignored. Cost: logarithmic in the runs.
  void remove(RunNumber Run);
  /// Returns the parent of a call that the server makes now. Of several possible runs, this is the
  /// most urgent one whose root is known. Cost: logarithmic in the runs, linear in their classes.
  /// \param Called class of the call.
  /// \param Deadline the time of arrival plus the time left that the call names, if any.
  Parent find(const ClassId &Called, std::optional<TimePoint> Deadline);
  std::size_t size() const { return Runs_.size(); }

private:
  struct Run {
    RunNumber Number_ = 0;
    std::int64_t DeadlineMs_ = 0;
    ClassId Class_;
    std::optional<RootStanding> Standing_;
  };
  struct MoreUrgent {
    bool operator()(const Run *A, const Run *B) const;
  };
  using ByUrgency = std::set<const Run *, MoreUrgent>;
  struct ClassRuns {
    ByUrgency All_;
    std::map<std::int64_t, ByUrgency> ByDeadline_; ///< by DeadlineMs_
    std::size_t Repeated_ = 0;                     ///< runs that are repeats, or belong to one
    std::size_t Unknown_ = 0;                      ///< runs whose root is not known
  };
  /// Runs of a class that others of the class find at the server when they are added.
  struct Arrivals {
    double Count_ = 0.0;
    double Alone_ = 0.0; ///< runs that found none
    double Found_ = 0.0;
  };
  /// Runs of a class that are at the server when a class is called.
  struct Presence {
    double Calls_ = 0.0; ///< at which there was one at least
    double Found_ = 0.0;
  };
  /// Which classes of runs make the calls of a class, as far as it was seen; recent calls count
  /// more.
  struct Callers {
    double Calls_ = 0.0;
    double Matched_ = 0.0; ///< by deadline
    double Known_ = 0.0;   ///< calls in ByClass_
    std::map<ClassId, double> ByClass_;
    double Counted_ = 0.0; ///< calls in Present_, also while no run was at the server
    std::map<ClassId, Presence> Present_;
    double ArrivedBefore_ = 0.0; ///< part of CallParents::Arrived_ from before these calls
    ClassId Caller_; ///< class of runs whose presence shows that it makes the calls, or empty
  };
  struct Matches {
    std::size_t Count_ = 0;
    const Run *MostUrgent_ = nullptr;
    const ClassId *Class_ = nullptr; ///< of all matching runs; nullptr if they differ
    bool Repeated_ = false;          ///< one of them is a repeat, or belongs to one
  };

  /// Finds the runs with deadlines from FirstMs to LastMs, inclusive.
  Matches matchDeadline(std::int64_t FirstMs, std::int64_t LastMs) const;
  Callers &callersOf(const ClassId &Called);
  /// Records what a call tells of the callers of its class.
  void learn(Callers &Item, const Matches &Found);
  /// Records which classes of runs are at the server during a call.
  void learnPresence(Callers &Item);
  /// Halves what is known of presence, so that a change of the callers shows. Arrivals and calls
  /// are halved together, because they are compared.
  void agePresence();
  /// Returns the only class of runs that makes the calls; nullptr if there is none or several.
  static const ClassId *onlyCaller(const Callers &Item);
  /// Returns the only class of runs whose presence shows that it makes the calls.
  const ClassId *presentCaller(const Callers &Item) const;
  /// Returns the only class of runs that was at the server during all calls.
  const ClassId *alwaysPresent(const Callers &Item) const;
  /// Returns whether the presence of a class of runs shows that others make calls too.
  bool isContradicted(const Callers &Item, const ClassId &Class) const;

  std::map<RunNumber, Run> Runs_;
  std::map<ClassId, ClassRuns> Classes_; ///< classes of Runs_
  std::map<ClassId, Callers> Called_;
  std::map<ClassId, Arrivals> Arrivals_; ///< of each class of runs
  double Arrived_ = 0.0;                 ///< runs in Arrivals_
};

} // namespace bronzestand

#endif
