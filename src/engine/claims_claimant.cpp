#include <algorithm>
#include <utility>

#include "bronzestand/claims.h"

namespace bronzestand {

namespace {

std::size_t storedSize(const Answer &Value) {
  std::size_t Size = Value.Body_.size();
  for (const Header &Field : Value.Headers_)
    Size += Field.Name_.size() + Field.Value_.size();
  return Size;
}

/// Keeps the vote of the newest incarnation of a witness; within one incarnation, a grant is final.
void recordVote(std::map<HostId, ClaimVote> &Votes, const HostId &From, const ClaimVote &Vote) {
  const auto [Stored, IsNew] = Votes.try_emplace(From, Vote);
  if (IsNew || Vote.Witness_ < Stored->second.Witness_)
    return;
  if (Vote.Witness_ > Stored->second.Witness_ || Stored->second.Verdict_ != ClaimVerdict::Granted)
    Stored->second = Vote;
}

/// Tells whether another witness knows a newer incarnation of this member of the set.
bool isSuperseded(const std::map<HostId, ClaimVote> &Votes, std::size_t MemberIndex,
                  Incarnation VoterIncarnation) {
  return std::any_of(Votes.begin(), Votes.end(), [&](const auto &Other) {
    const auto &Known = Other.second.Known_;
    return MemberIndex < Known.size() && Known[MemberIndex] > VoterIncarnation;
  });
}

} // namespace

Claimant::Claimant(HostId Self, Incarnation OwnIncarnation, ClaimSettings Settings)
    : Self_(std::move(Self)), OwnIncarnation_(OwnIncarnation), Settings_(Settings),
      WitnessSets_(ClaimSlots) {}

void Claimant::setHosts(const std::vector<ClaimHost> &Hosts, Revision ListRevision) {
  if (ListRevision <= ListRevision_)
    return;
  ListRevision_ = ListRevision;
  for (std::uint32_t SlotNumber = 0; SlotNumber < ClaimSlots; ++SlotNumber)
    WitnessSets_[SlotNumber] = witnessSet(SlotNumber, Hosts);
}

void Claimant::decide(ClaimId Id, const ClaimDecision &Decision, ClaimEffects &Effects) {
  Counts_.Dispatched_ += std::holds_alternative<ClaimDispatch>(Decision) ? 1 : 0;
  Counts_.Refused_ += std::holds_alternative<ClaimRefuse>(Decision) ? 1 : 0;
  Counts_.Replayed_ += std::holds_alternative<ClaimReplay>(Decision) ? 1 : 0;
  Counts_.Redirected_ += std::holds_alternative<ClaimRedirect>(Decision) ? 1 : 0;
  Effects.emplace_back(ClaimDecided{Id, Decision});
}

bool Claimant::decideKnownKey(const ClaimDigest &Key, std::uint64_t BodyHash, ClaimId Id,
                              ClaimEffects &Effects) {
  const auto Found = Entries_.find(Key);
  if (Found == Entries_.end())
    return false;
  Entry &Current = Found->second;
  if (Current.BodyHash_ != BodyHash) {
    decide(Id, ClaimRefuse{Refusal::IdempotencyKeyReused}, Effects);
  } else if (Current.State_ == State::Done) {
    decide(Id, ClaimReplay{Current.Answer_}, Effects);
  } else if (Current.State_ == State::AnswerUnavailable) {
    decide(Id, ClaimRefuse{Refusal::OutcomeUnknown}, Effects);
  } else {
    Current.WaitingIds_.push_back(Id);
    decide(Id, ClaimWait{}, Effects);
  }
  return true;
}

ClaimId Claimant::begin(TimePoint Now, const ClaimKey &Key, std::uint64_t BodyHash,
                        ClaimEffects &Effects, std::optional<Incarnation> Redirected) {
  const ClaimId Id = ++LastId_;
  const ClaimDigest Digest = digestOf(Key);
  if (decideKnownKey(Digest, BodyHash, Id, Effects))
    return Id;
  if (Redirected && *Redirected != OwnIncarnation_) {
    decide(Id, ClaimRefuse{Refusal::OutcomeUnknown}, Effects);
    return Id;
  }
  if (Entries_.size() >= Settings_.MaxEntries_ || WitnessSets_[slotOf(Digest)].empty()) {
    decide(Id, ClaimRefuse{Refusal::ClaimUnavailable}, Effects);
    return Id;
  }
  Entry &Current = Entries_[Digest];
  Current.Id_ = Id;
  Current.BodyHash_ = BodyHash;
  Current.Redirected_ = Redirected.has_value();
  Current.BegunAt_ = Now;
  KeyOfId_[Id] = Digest;
  ClaimingKeys_.insert(Digest);
  sendClaim(Now, Digest, Current, Effects);
  return Id;
}

void Claimant::sendClaim(TimePoint Now, const ClaimDigest &Key, Entry &Current,
                         ClaimEffects &Effects) {
  Current.NextSend_ = Now + Settings_.ResendInterval_;
  const std::vector<HostId> &Members = WitnessSets_[slotOf(Key)];
  if (Current.Members_ != Members) {
    // Votes of different witness sets must not be counted together.
    Current.Members_ = Members;
    Current.Attempt_ = ++LastAttempt_;
    Current.Votes_.clear();
  }
  const ClaimRequest Request{
      Key, Current.BodyHash_, {Self_, OwnIncarnation_, Current.Attempt_}, Current.Members_};
  for (const HostId &Host : Current.Members_) {
    const auto Vote = Current.Votes_.find(Host);
    if (Vote == Current.Votes_.end() || Vote->second.Verdict_ != ClaimVerdict::Granted)
      Effects.emplace_back(ClaimSend{Host, Request});
  }
}

void Claimant::handle(TimePoint Now, const HostId &From, const ClaimMessage &Message,
                      ClaimEffects &Effects) {
  const auto *Vote = std::get_if<ClaimVote>(&Message);
  if (Vote == nullptr)
    return;
  const auto Found = Entries_.find(Vote->Key_);
  if (Found == Entries_.end())
    return;
  Entry &Current = Found->second;
  if (Current.State_ != State::Claiming || Current.Attempt_ != Vote->Attempt_ ||
      std::find(Current.Members_.begin(), Current.Members_.end(), From) == Current.Members_.end())
    return;
  recordVote(Current.Votes_, From, *Vote);
  countVotes(Now, Vote->Key_, Current, Effects);
}

void Claimant::countVotes(TimePoint Now, const ClaimDigest &Key, Entry &Current,
                          ClaimEffects &Effects) {
  // After a pause of this process the witnesses may have dropped the claim already.
  if (Now - Current.BegunAt_ > Settings_.Timeout_) {
    endWithoutDispatch(Key, Effects);
    return;
  }
  std::size_t Granted = 0;
  std::size_t Taken = 0;
  for (std::size_t MemberIndex = 0; MemberIndex < Current.Members_.size(); ++MemberIndex) {
    const auto Vote = Current.Votes_.find(Current.Members_[MemberIndex]);
    if (Vote == Current.Votes_.end() ||
        isSuperseded(Current.Votes_, MemberIndex, Vote->second.Witness_))
      continue;
    Granted += Vote->second.Verdict_ == ClaimVerdict::Granted ? 1 : 0;
    Taken += Vote->second.Verdict_ == ClaimVerdict::Taken ? 1 : 0;
  }
  const std::size_t Majority = Current.Members_.size() / 2 + 1;
  if (Granted >= Majority) {
    Current.State_ = State::Running;
    ClaimingKeys_.erase(Key);
    Current.Votes_.clear();
    decide(Current.Id_, ClaimDispatch{}, Effects);
  } else if (Current.Members_.size() - Taken < Majority) {
    endWithoutDispatch(Key, Effects);
  }
}

void Claimant::endWithoutDispatch(const ClaimDigest &Key, ClaimEffects &Effects) {
  Entry &Current = Entries_.at(Key);
  const ClaimVote *TakenVote = nullptr;
  for (const auto &[Host, Vote] : Current.Votes_) {
    if (Vote.Verdict_ == ClaimVerdict::Taken)
      TakenVote = &Vote;
  }
  ClaimDecision Decision = ClaimRefuse{Refusal::ClaimUnavailable};
  if (TakenVote != nullptr && TakenVote->BodyHash_ != Current.BodyHash_)
    Decision = ClaimRefuse{Refusal::IdempotencyKeyReused};
  else if (TakenVote != nullptr && (Current.Redirected_ || TakenVote->Owner_.Host_ == Self_))
    Decision = ClaimRefuse{Refusal::OutcomeUnknown};
  else if (TakenVote != nullptr)
    Decision = ClaimRedirect{TakenVote->Owner_.Host_, TakenVote->Owner_.Incarnation_};
  sendReleases(Key, Current, Effects);
  decide(Current.Id_, Decision, Effects);
  decideWaiting(Current, Decision, Effects);
  erase(Key);
}

void Claimant::sendReleases(const ClaimDigest &Key, const Entry &Current,
                            ClaimEffects &Effects) const {
  const ClaimRelease Release{Key, {Self_, OwnIncarnation_, Current.Attempt_}};
  for (const HostId &Host : Current.Members_)
    Effects.emplace_back(ClaimSend{Host, Release});
}

void Claimant::decideWaiting(Entry &Current, const ClaimDecision &Decision, ClaimEffects &Effects) {
  for (const ClaimId Id : std::exchange(Current.WaitingIds_, {}))
    decide(Id, Decision, Effects);
}

void Claimant::erase(const ClaimDigest &Key) {
  const auto Found = Entries_.find(Key);
  Counts_.StoredBytes_ -= storedSize(Found->second.Answer_);
  KeyOfId_.erase(Found->second.Id_);
  ClaimingKeys_.erase(Key);
  Entries_.erase(Found);
}

bool Claimant::stillValid(TimePoint Now, ClaimId Id) const {
  const auto Key = KeyOfId_.find(Id);
  if (Key == KeyOfId_.end())
    return false;
  const Entry &Current = Entries_.at(Key->second);
  return Current.State_ == State::Running && Now - Current.BegunAt_ <= Settings_.DispatchWindow_;
}

void Claimant::finished(TimePoint, ClaimId Id, const Answer &Result, ClaimEffects &Effects) {
  const auto Found = KeyOfId_.find(Id);
  if (Found == KeyOfId_.end())
    return;
  const ClaimDigest Key = Found->second;
  Entry &Current = Entries_.at(Key);
  if (Current.State_ == State::Claiming || Current.State_ == State::Done)
    return;
  if (Result.Outcome_ == Outcome::NotRun) {
    // The refusal also holds for the waiting resends, because none of them was dispatched.
    sendReleases(Key, Current, Effects);
    decideWaiting(Current, ClaimRefuse{Result.Refusal_}, Effects);
    erase(Key);
    return;
  }
  if (Result.Outcome_ == Outcome::Unknown) {
    Current.State_ = State::AnswerUnavailable;
    decideWaiting(Current, ClaimRefuse{Refusal::OutcomeUnknown}, Effects);
    return;
  }
  const std::size_t Size = storedSize(Result);
  if (Size <= Settings_.MaxAnswerBytes_ &&
      Counts_.StoredBytes_ + Size <= Settings_.MaxStoredBytes_) {
    Current.Answer_ = Result;
    Counts_.StoredBytes_ += Size;
    Current.State_ = State::Done;
  } else {
    Current.State_ = State::AnswerUnavailable;
  }
  decideWaiting(Current, ClaimReplay{Result}, Effects);
}

void Claimant::tick(TimePoint Now, ClaimEffects &Effects) {
  std::vector<ClaimDigest> ExpiredKeys;
  for (const ClaimDigest &Key : ClaimingKeys_) {
    Entry &Current = Entries_.at(Key);
    if (Now - Current.BegunAt_ > Settings_.Timeout_)
      ExpiredKeys.push_back(Key);
    else if (Now >= Current.NextSend_)
      sendClaim(Now, Key, Current, Effects);
  }
  for (const ClaimDigest &Key : ExpiredKeys)
    endWithoutDispatch(Key, Effects);
  if (Now >= NextExpiry_) {
    NextExpiry_ = Now + std::chrono::seconds(10);
    expire(Now, Effects);
  }
}

void Claimant::expire(TimePoint Now, ClaimEffects &Effects) {
  // Longer than a witness keeps its entry, so that the owner is not granted its own key again.
  const Duration RetentionTime = Settings_.Lifetime_ + 2 * Settings_.DispatchWindow_;
  std::vector<ClaimDigest> ExpiredKeys;
  for (const auto &[Key, Current] : Entries_) {
    if (Current.State_ != State::Claiming && Now - Current.BegunAt_ > RetentionTime)
      ExpiredKeys.push_back(Key);
  }
  for (const ClaimDigest &Key : ExpiredKeys) {
    decideWaiting(Entries_.at(Key), ClaimRefuse{Refusal::OutcomeUnknown}, Effects);
    erase(Key);
  }
}

void Claimant::wakeAfterPause(TimePoint Now, ClaimEffects &Effects) {
  const std::vector<ClaimDigest> Pending(ClaimingKeys_.begin(), ClaimingKeys_.end());
  for (const ClaimDigest &Key : Pending)
    endWithoutDispatch(Key, Effects);
  tick(Now, Effects);
}

ClaimantDump Claimant::dump() const {
  ClaimantDump Result = Counts_;
  Result.Entries_ = Entries_.size();
  return Result;
}

} // namespace bronzestand
