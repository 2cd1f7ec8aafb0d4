// Package ticketer acquires admission tickets from the homes of units and
// releases them with the outcome of the request.
package ticketer
