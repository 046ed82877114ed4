# What must hold and what must fail; read by scripts/check_models.sh.
check budget.pml holds
check budget.pml fails -DNO_MARKS
check budget.pml fails -DVOUCH
check budget.pml fails -DEARLY_WORK
check budget.pml fails -DNO_KEYS
check budget.pml fails -DNO_SECOND_COPY
check budget.pml fails -DSETTLE_TWICE
check requests.pml holds
check requests.pml fails -DNO_MARKS
check requests.pml fails -DANY_MARK
check requests.pml fails -DNO_VOID
check requests.pml fails -DEARLY_ANSWER
check requests.pml fails -DANY_INCARNATION
check requests.pml fails -DOLD_TICKETS
check grants.pml holds
check grants.pml fails -DNO_CONDITION
check grants.pml fails -DINHERIT
check grants.pml fails -DSPEND_RETURN
check grants.pml fails -DSPEND_EARLY
check grants.pml fails -DKEEP_GIVEN
check grants.pml fails -DRETURN_GIVEN
check cold_turns.pml holds
check cold_turns.pml fails -DSHARE_KEPT_BY_TWO
check cold_turns.pml fails -DTURN_USED_TWICE
check cold_turns.pml fails -DFULL_SUCCESSOR
check rollouts.pml holds
check rollouts.pml holds -DEXPOSURE
check rollouts.pml fails -DNO_CONDITION
check rollouts.pml fails -DNO_REPORTS
check rollouts.pml fails -DNO_OWNER
check rollouts.pml fails -DWORD_OF_ANY
check rollouts.pml fails -DTURN_BACK
check rollouts.pml fails -DOLD_MOVES
check rollouts.pml fails -DCREDIT
check rollouts.pml fails -DKEPT_REACHED
check suspects.pml holds
check suspects.pml fails -DOWN_MEMORY
check suspects.pml fails -DNO_READ
check suspects.pml fails -DFOUR
check suspects.pml fails -DLOST_BEFORE_WRITTEN
check shared_reads.pml holds
check shared_reads.pml fails -DNO_AGE
check shared_reads.pml fails -DANY_CALL
check shared_reads.pml fails -DNO_GENERATION
check step_back.pml holds
check step_back.pml fails -DSTALE_TRUSTED
check step_back.pml fails -DNOBODY_LEFT
check step_back.pml fails -DNO_ANNOUNCEMENT
check step_back.pml fails -DNO_ORDER
check step_back.pml holds -DSHEDDING
check step_back.pml holds -DSHEDDING -DLAST_FREEZE=0 -DLAST_SHED=2
check step_back.pml fails -DSHEDDING -DIGNORE_BUDGET
check step_back.pml fails -DSHEDDING -DSHED_UNINFORMED
