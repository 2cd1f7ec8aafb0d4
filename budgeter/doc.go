// Package budgeter keeps the requests that entries send once more within a share that all entries have together.
package budgeter
