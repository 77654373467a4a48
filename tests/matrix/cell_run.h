#pragma once

#include "matrix/cell.h"

namespace knapweed::matrix {

/** One run of a cell: warms up the cluster, starts the subject among background requests, injects the fault
    when the subject reaches the step, and checks that requests succeed after the fault has ended. */
class cell_run {
public:
    cell_run(const cell_plan& plan, int variant);

    cell_result run();

private:
    void start_background();
    void start_subject();
    /** Detects the steps of subjects other than requests. */
    void poll_subject();
    void inject_fault();
    void end_fault(const fault& ended);
    /** Checks that new requests succeed, that versions agree and that no exchange stays open. */
    void check_recovery();
    /** Injects the fault if @p step is the step of the cell and no fault was injected yet. */
    void reached(const std::string& step);
    caller& add_caller(operation_plan plan);
    [[nodiscard]] bool is_request() const;
    [[nodiscard]] fault_roles choose_roles();

    cell_plan plan_;
    int variant_;
    simulated_cluster cluster_;
    std::vector<std::unique_ptr<caller>> callers_;
    caller* subject_ = nullptr;
    int next_operation_ = 1;
    int dispatched_by_ = -1;     ///< node that dispatched the subject
    std::string drained_server_; ///< address; empty once the drain is in force at the pool owner
    std::string drained_data_centre_;
    int pool_owner_before_ = -1;
    bool subject_started_ = false;
    bool background_running_ = true;
    bool fault_injected_ = false;
    bool faults_ended_ = false;
    bool subject_dispatched_ = false;
    fault_roles roles_;
};

} // namespace knapweed::matrix
