# Defines the names and addresses that the scripts share. Source it after setting DEPLOYMENT.

case "$DEPLOYMENT" in
alokrekha)
	NET=127.10
	SERVICE=venue-api
	;;
rail)
	NET=127.20
	SERVICE=booking-desk
	;;
*)
	echo "unknown deployment \"$DEPLOYMENT\"; use alokrekha or rail" >&2
	exit 2
	;;
esac

EXAMPLES=examples/$DEPLOYMENT
INVENTORY=$EXAMPLES/inventory.yaml
RUN_DIR=run/$DEPLOYMENT
PID_FILE=$RUN_DIR/pids
LOG_ADDRESS=$NET.9.1:7000
VM_LIST_ADDRESS=$NET.9.2:7000
WEIGHT_STORE_ADDRESS=$NET.9.3:7000
SERVICE_CONTROL=$NET.8.100:7000
ENTRIES=()
ENTRY_FLAGS=()
for number in 1 2 3 4 5 6 7; do
	ENTRIES+=("$NET.0.$number:8000")
	ENTRY_FLAGS+=(--entry "$NET.0.$number:8000")
done
